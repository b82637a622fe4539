// Package certs makes the TLS settings of the system's own processes.
//
// One certificate authority, run by the users, signs a certificate for each
// process. Both sides of a connection show theirs. A certificate carries a
// role as its DNS name, [Entry] or [Desk], and not an address: hosts are
// replaced all the time and talk by IP number. So whoever holds a desk's
// certificate can give lines but cannot pose as an entry host.
//
// Without TLS the secrets of peers and operators cross the network in the
// clear, and whoever reads them can change the configuration. Hosts keep no
// files, so certificate and key come as PEM text, from the environment.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
)

// Role is what a certificate says that a process is.
type Role string

// The roles.
const (
	// Entry is an entry host.
	Entry Role = "entry"
	// Desk is an operators' command line.
	Desk Role = "desk"
)

// Bundle is what a process is given, as PEM text. An empty one means no TLS.
type Bundle struct {
	// Cert is the certificate of this process.
	Cert string
	// Key is the private key that belongs to it. It is never logged.
	Key string
	// CA is the certificate of the authority that signs all of them.
	CA string
}

// Flags binds the bundle to flags.
func (b *Bundle) Flags(fs *flag.FlagSet) {
	fs.StringVar(&b.Cert, "tls-cert", "", "certificate of this process, as PEM text; empty for no TLS")
	fs.StringVar(&b.Key, "tls-key", "", "private key of the certificate, as PEM text")
	fs.StringVar(&b.CA, "tls-ca", "", "certificate of the authority, as PEM text")
}

// Empty reports whether TLS is off.
func (b *Bundle) Empty() bool {
	return *b == Bundle{}
}

// Check returns all faults of the bundle at once, each with its flag.
func (b *Bundle) Check(role Role) error {
	if b.Empty() {
		return nil
	}
	var faults []error
	if b.Cert == "" || b.Key == "" || b.CA == "" {
		return errors.New("-tls-cert, -tls-key, -tls-ca: want all three or none")
	}
	pair, err := tls.X509KeyPair([]byte(b.Cert), []byte(b.Key))
	switch {
	case err != nil:
		faults = append(faults, fmt.Errorf("-tls-cert, -tls-key: %w", err))
	case pair.Leaf.VerifyHostname(string(role)) != nil:
		faults = append(faults, fmt.Errorf("-tls-cert: has no DNS name %q", role))
	}
	if _, err := b.pool(); err != nil {
		faults = append(faults, err)
	}
	return errors.Join(faults...)
}

func (b *Bundle) pool() (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(b.CA)) {
		return nil, errors.New("-tls-ca: no certificate in it")
	}
	return pool, nil
}

// Server returns the settings of a listener that takes connections from one
// role alone; nil without TLS.
func (b *Bundle) Server(from Role) (*tls.Config, error) {
	config, err := b.config()
	if config == nil || err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return state.PeerCertificates[0].VerifyHostname(string(from))
	}
	return config, nil
}

// Client returns the settings of connections to entry hosts; nil without TLS.
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
