package certs_test

import (
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/certs"
)

func issue(t *testing.T, a *certs.Authority, role certs.Role) certs.Bundle {
	t.Helper()
	b, err := a.Issue(role)
	qt.Assert(t, err, qt.IsNil)
	return b
}

// connects connects to an entry host's listener for one role and reports
// whether a byte was received.
func connects(t *testing.T, server certs.Bundle, clientRole certs.Role, client certs.Bundle) bool {
	t.Helper()
	config, err := server.Server(clientRole)
	qt.Assert(t, err, qt.IsNil)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = conn.Write([]byte("!"))
			conn.Close()
		}
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer raw.Close()
	if config, err = client.Client(); err != nil || config == nil {
		_, _ = raw.Write([]byte("no TLS"))
		got, _ := io.ReadAll(raw)
		return string(got) == "!"
	}
	got, _ := io.ReadAll(tls.Client(raw, config))
	return string(got) == "!"
}

// Guards against clients that change the configuration or impersonate an entry
// host: those without a certificate, with one of another authority, or with one
// of another role.
func TestUnauthorizedPeersAreRejected(t *testing.T) {
	ours, err := certs.NewAuthority(time.Hour)
	qt.Assert(t, err, qt.IsNil)
	theirs, err := certs.NewAuthority(time.Hour)
	qt.Assert(t, err, qt.IsNil)
	entry := issue(t, ours, certs.Entry)
	// The certificate of our authority is public, so a client of another
	// authority can have it.
	forged := issue(t, theirs, certs.Entry)
	forged.CA = entry.CA
	for _, test := range []struct {
		name       string
		server     certs.Bundle
		clientRole certs.Role
		client     certs.Bundle
		want       bool
	}{
		{"entry to entry", entry, certs.Entry, issue(t, ours, certs.Entry), true},
		{"desk to entry", entry, certs.Desk, issue(t, ours, certs.Desk), true},
		{"desk as entry", entry, certs.Entry, issue(t, ours, certs.Desk), false},
		{"entry as desk", entry, certs.Desk, issue(t, ours, certs.Entry), false},
		{"other authority", entry, certs.Entry, issue(t, theirs, certs.Entry), false},
		{"other authority that knows ours", entry, certs.Entry, forged, false},
		{"no TLS", entry, certs.Entry, certs.Bundle{}, false},
		{"server is no entry host", issue(t, ours, certs.Desk), certs.Entry, entry, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, connects(t, test.server, test.clientRole, test.client), qt.Equals, test.want)
		})
	}
}

func TestCheckNamesFlag(t *testing.T) {
	a, err := certs.NewAuthority(time.Hour)
	qt.Assert(t, err, qt.IsNil)
	good := issue(t, a, certs.Entry)
	other := issue(t, a, certs.Entry)
	for _, test := range []struct {
		name   string
		bundle certs.Bundle
		want   string
	}{
		{"missing CA", certs.Bundle{Cert: good.Cert, Key: good.Key}, ".*want all three or none"},
		{"key of another certificate", certs.Bundle{Cert: good.Cert, Key: other.Key, CA: good.CA}, "-tls-cert, -tls-key: .*"},
		{"wrong role", issue(t, a, certs.Desk), `-tls-cert: has no DNS name "entry"`},
		{"no authority", certs.Bundle{Cert: good.Cert, Key: good.Key, CA: "text"}, "-tls-ca: no certificate in it"},
	} {
		qt.Check(t, test.bundle.Check(certs.Entry), qt.ErrorMatches, test.want, qt.Commentf(test.name))
	}
	qt.Assert(t, good.Check(certs.Entry), qt.IsNil)
	qt.Assert(t, (&certs.Bundle{}).Check(certs.Entry), qt.IsNil)
}
