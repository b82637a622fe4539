package procs

import (
	"time"

	"fuchsiashelf.dev/parts/certs"
)

// certLifetime is the lifetime of the certificates of a cluster.
const certLifetime = time.Hour

// EnableTLS gives programs that are started from now on certificates of a new
// authority.
func (c *Cluster) EnableTLS() error {
	authority, err := certs.NewAuthority(certLifetime)
	if err != nil {
		return err
	}
	c.Env = nil
	for prefix, role := range map[string]certs.Role{"FSENTRY": certs.Entry, "FSDESK": certs.Desk} {
		bundle, err := authority.Issue(role)
		if err != nil {
			return err
		}
		c.Env = append(c.Env,
			prefix+"_TLS_CERT="+bundle.Cert, prefix+"_TLS_KEY="+bundle.Key, prefix+"_TLS_CA="+bundle.CA)
	}
	return nil
}

// DisableTLS starts programs without certificates from now on.
func (c *Cluster) DisableTLS() {
	c.Env = nil
}
