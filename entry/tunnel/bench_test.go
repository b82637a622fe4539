package tunnel_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/entry/tunnel"
)

// startBench starts a peer and a server that echoes.
func startBench(b *testing.B) (peer, server string) {
	b.Helper()
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { l.Close() })
		return l
	}
	servers, peers := listen(), listen()
	go func() {
		for {
			c, err := servers.Accept()
			if err != nil {
				return
			}
			go echo(c)
		}
	}()
	go func() { _ = drpcserver.New(&tunnel.Server{Known: all, Dial: dial}).Serve(b.Context(), peers) }()
	return peers.Addr().String(), servers.Addr().String()
}

// exchange sends bytes and reads them back.
func exchange(b *testing.B, c net.Conn, buffer []byte) {
	if _, err := c.Write(buffer); err != nil {
		b.Fatal(err)
	}
	if _, err := io.ReadFull(c, buffer); err != nil {
		b.Fatal(err)
	}
}

// benchConn opens a connection, through a peer if there is one.
func benchConn(b *testing.B, peer, server string) net.Conn {
	if peer == "" {
		c, err := dial(context.Background(), "tcp", server)
		if err != nil {
			b.Fatal(err)
		}
		return c
	}
	carrier, err := dialPeer(context.Background(), peer)
	if err != nil {
		b.Fatal(err)
	}
	c, err := tunnel.Open(context.Background(), carrier, peer, server, "")
	if err != nil {
		b.Fatal(err)
	}
	return c
}

func BenchmarkOpen(b *testing.B) {
	peer, server := startBench(b)
	for name, through := range map[string]string{"direct": "", "tunnel": peer} {
		b.Run(name, func(b *testing.B) {
			buffer := make([]byte, 800)
			for b.Loop() {
				c := benchConn(b, through, server)
				exchange(b, c, buffer)
				c.Close()
			}
		})
	}
}

func BenchmarkExchange(b *testing.B) {
	peer, server := startBench(b)
	for name, through := range map[string]string{"direct": "", "tunnel": peer} {
		b.Run(name, func(b *testing.B) {
			c := benchConn(b, through, server)
			defer c.Close()
			buffer := make([]byte, 800)
			for b.Loop() {
				exchange(b, c, buffer)
			}
		})
	}
}

// BenchmarkMemory reports the memory of an open tunnel, of both its hosts and the server.
func BenchmarkMemory(b *testing.B) {
	const n = 500
	peer, server := startBench(b)
	for name, through := range map[string]string{"direct": "", "tunnel": peer} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				conns := make([]net.Conn, n)
				for i := range conns {
					conns[i] = benchConn(b, through, server)
					exchange(b, conns[i], make([]byte, 800))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/n, "B/conn")
				for _, c := range conns {
					c.Close()
				}
			}
		})
	}
}
