package prog

import (
	"crypto/tls"
	"net"

	"fuchsiashelf.dev/parts/certs"
)

// enableTLS wraps the listeners for other entry hosts and operators in TLS if
// certificates are configured. Each accepts clients of one role only.
func (d *daemon) enableTLS() error {
	for _, l := range []struct {
		clientRole certs.Role
		listener   *net.Listener
	}{
		{certs.Entry, &d.peers},
		{certs.Desk, &d.desk},
	} {
		config, err := d.settings.Certs.Server(l.clientRole)
		if err != nil {
			return err
		}
		if config != nil {
			*l.listener = tls.NewListener(*l.listener, config)
		}
	}
	return nil
}
