package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"
)

// Authority signs certificates for tests and evaluation. In production the
// users run their own.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

// serialBits is the size of the random serial numbers.
const serialBits = 120

// NewAuthority returns an authority that is valid for the given time from now,
// as are its certificates.
func NewAuthority(valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("fuchsiashelf authority", valid)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

// Issue returns the bundle of a process with the role.
func (a *Authority) Issue(role Role) (Bundle, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Bundle{}, err
	}
	template, err := newTemplate("fuchsiashelf "+string(role), time.Until(a.cert.NotAfter))
	if err != nil {
		return Bundle{}, err
	}
	template.DNSNames = []string{string(role)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Bundle{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Bundle{}, err
	}
	return Bundle{Cert: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", keyDER), CA: a.pem}, nil
}

func newTemplate(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		// The clocks of hosts differ. The certificate must also be valid on a
		// host whose clock is behind.
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(valid),
	}, nil
}

func encodePEM(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}
