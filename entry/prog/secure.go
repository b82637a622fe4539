package prog

import (
	"crypto/tls"
	"net"

	"fuchsiashelf.dev/parts/certs"
)

// secure puts TLS on the listeners of peers and operators, if it is set.
func (d *daemon) secure() error {
	for _, l := range []struct {
		from     certs.Role
		listener *net.Listener
	}{
		{certs.Entry, &d.peers},
		{certs.Desk, &d.desk},
	} {
		config, err := d.settings.Certs.Server(l.from)
		if err != nil {
			return err
		}
		if config != nil {
			*l.listener = tls.NewListener(*l.listener, config)
		}
	}
	return nil
}
