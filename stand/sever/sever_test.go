package sever_test

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/stand/sever"
)

const timeout = 200 * time.Millisecond

func dial(l *sever.Listener, source string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return d.Dial("tcp4", l.Addr().String())
}

// echoes reports whether a connection returns what is sent, and the error if not.
func echoes(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestModes(t *testing.T) {
	const cut, other = "127.0.9.1", "127.0.9.2"
	for _, name := range []string{"hang", "reset", "no-new"} {
		t.Run(name, func(t *testing.T) {
			l, err := sever.Listen("127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						_, _ = io.Copy(c, c)
					}()
				}
			}()
			open, err := dial(l, cut)
			qt.Assert(t, err, qt.IsNil)
			defer open.Close()
			qt.Assert(t, echoes(open), qt.IsNil)
			mode, err := sever.ParseMode(name)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, l.Cut(netip.MustParseAddr(cut), mode), qt.IsNil)
			switch err := echoes(open); name {
			case "reset":
				qt.Assert(t, err, qt.IsNotNil)
			case "hang":
				qt.Assert(t, err, qt.ErrorIs, os.ErrDeadlineExceeded)
			default:
				qt.Assert(t, err, qt.IsNil)
			}
			_, err = dial(l, cut)
			qt.Assert(t, os.IsTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
			c, err := dial(l, other)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			qt.Assert(t, echoes(c), qt.IsNil)
			qt.Assert(t, l.Cut(netip.MustParseAddr(cut), sever.Connected), qt.IsNil)
			again, err := dial(l, cut)
			qt.Assert(t, err, qt.IsNil)
			defer again.Close()
			qt.Assert(t, echoes(again), qt.IsNil)
		})
	}
}
