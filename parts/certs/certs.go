// Package certs creates the TLS configurations of the processes of the system.
//
// One certificate authority, run by the users, signs a certificate for each
// process. Both sides of a connection present theirs. A certificate carries a
// role, [Entry] or [Desk], as its DNS name rather than an address, since hosts
// are replaced often and connect by IP address. The holder of a desk certificate
// can therefore send commands but cannot impersonate an entry host.
//
// Without TLS, the secrets of peers and operators cross the network in clear
// text, and anyone who reads them can change the configuration. Hosts store no
// files, so the certificate and the key are PEM text from the environment.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
)

// Role is the role of a process according to its certificate.
type Role string

// The roles.
const (
	// Entry is an entry host.
	Entry Role = "entry"
	// Desk is the command line of an operator.
	Desk Role = "desk"
)

// Bundle holds the certificate, the key and the authority of a process as PEM
// text. An empty bundle means no TLS.
type Bundle struct {
	// Cert is the certificate of this process.
	Cert string
	// Key is the private key of the certificate. It is never logged.
	Key string
	// CA is the certificate of the authority that signs the certificates of all
	// processes.
	CA string
}

// Flags registers flags that set the bundle.
func (b *Bundle) Flags(fs *flag.FlagSet) {
	fs.StringVar(&b.Cert, "tls-cert", "", "certificate of this process, as PEM text; empty for no TLS")
	fs.StringVar(&b.Key, "tls-key", "", "private key of the certificate, as PEM text")
	fs.StringVar(&b.CA, "tls-ca", "", "certificate of the authority, as PEM text")
}

// Empty reports whether the bundle is empty, which means no TLS.
func (b *Bundle) Empty() bool {
	return *b == Bundle{}
}

// Check validates the bundle for a process with the role. It returns all errors
// at once, each with the name of its flag.
func (b *Bundle) Check(role Role) error {
	if b.Empty() {
		return nil
	}
	var errs []error
	if b.Cert == "" || b.Key == "" || b.CA == "" {
		return errors.New("-tls-cert, -tls-key, -tls-ca: want all three or none")
	}
	pair, err := tls.X509KeyPair([]byte(b.Cert), []byte(b.Key))
	switch {
	case err != nil:
		errs = append(errs, fmt.Errorf("-tls-cert, -tls-key: %w", err))
	case pair.Leaf.VerifyHostname(string(role)) != nil:
		errs = append(errs, fmt.Errorf("-tls-cert: has no DNS name %q", role))
	}
	if _, err := b.pool(); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (b *Bundle) pool() (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(b.CA)) {
		return nil, errors.New("-tls-ca: no certificate in it")
	}
	return pool, nil
}

// Server returns the TLS configuration of a listener that accepts connections
// from one role only; nil without TLS.
func (b *Bundle) Server(clientRole Role) (*tls.Config, error) {
	config, err := b.config()
	if config == nil || err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return state.PeerCertificates[0].VerifyHostname(string(clientRole))
	}
	return config, nil
}

// Client returns the TLS configuration of connections to entry hosts; nil
// without TLS.
func (b *Bundle) Client() (*tls.Config, error) {
	config, err := b.config()
	if config == nil || err != nil {
		return nil, err
	}
	config.ServerName = string(Entry)
	return config, nil
}

func (b *Bundle) config() (*tls.Config, error) {
	if b.Empty() {
		return nil, nil
	}
	pair, err := tls.X509KeyPair([]byte(b.Cert), []byte(b.Key))
	if err != nil {
		return nil, fmt.Errorf("-tls-cert, -tls-key: %w", err)
	}
	pool, err := b.pool()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
	}, nil
}
