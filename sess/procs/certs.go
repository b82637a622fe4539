package procs

import (
	"time"

	"fuchsiashelf.dev/parts/certs"
)

// certsValid is how long the certificates of a session last.
const certsValid = time.Hour

// EnableTLS gives the programs that start from now on certificates of a new
// authority.
func (w *Cluster) EnableTLS() error {
	authority, err := certs.NewAuthority(certsValid)
	if err != nil {
		return err
	}
	w.Env = nil
	for prefix, role := range map[string]certs.Role{"FSENTRY": certs.Entry, "FSDESK": certs.Desk} {
		b, err := authority.Issue(role)
		if err != nil {
			return err
		}
		w.Env = append(w.Env,
			prefix+"_TLS_CERT="+b.Cert, prefix+"_TLS_KEY="+b.Key, prefix+"_TLS_CA="+b.CA)
	}
	return nil
}

// DisableTLS lets the programs that start from now on have no certificates.
func (w *Cluster) DisableTLS() {
	w.Env = nil
}
