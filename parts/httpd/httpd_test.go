package httpd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/httpd"
)

// start runs a server with one route until the test ends, and returns its URL,
// a function that stops it, and the channel with the result of Run.
func start(t testing.TB, route app.HandlerFunc, extra ...config.Option) (string, context.CancelFunc, <-chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &httpd.Server{Listener: listener}
	s.Init(extra...)
	s.Hertz.GET("/", route)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, time.Minute) }()
	t.Cleanup(cancel)
	return "http://" + listener.Addr().String() + "/", cancel, done
}

// Guards against work that continues after the client has disconnected: a
// handler that writes nothing yet sees no failed write.
func TestContextEndsOnDisconnect(t *testing.T) {
	started := make(chan struct{})
	ended := make(chan struct{})
	url, _, _ := start(t, func(ctx context.Context, _ *app.RequestContext) {
		close(started)
		<-ctx.Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	qt.Assert(t, err, qt.IsNil)
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	cancel()
	<-ended
}

// Guards against a response that is truncated because the server is told to
// stop in the middle of it.
func TestStopCompletesResponses(t *testing.T) {
	halfway := make(chan struct{})
	proceed := make(chan struct{})
	url, stop, done := start(t, func(_ context.Context, c *app.RequestContext) {
		w := sse.NewWriter(c)
		_ = w.WriteEvent("", "token", []byte("one"))
		close(halfway)
		<-proceed
		_ = w.WriteEvent("", "token", []byte("two"))
	})
	resp, err := http.Get(url)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	<-halfway
	stop()
	close(proceed)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Contains, "one")
	qt.Assert(t, string(body), qt.Contains, "two")
	qt.Assert(t, <-done, qt.IsNil)
}

const (
	benchTokens  = 64
	benchStreams = 64
)

// BenchmarkStreams compares the transports of hertz on token streams: 64
// concurrent clients, 64 events per stream. It reports events per second.
func BenchmarkStreams(b *testing.B) {
	for _, transport := range []struct {
		name string
		with config.Option
	}{
		{"netpoll", server.WithTransport(netpoll.NewTransporter)},
		{"standard", server.WithTransport(standard.NewTransporter)},
	} {
		b.Run(transport.name, func(b *testing.B) {
			url, _, _ := start(b, func(_ context.Context, c *app.RequestContext) {
				w := sse.NewWriter(c)
				for i := range benchTokens {
					_ = w.WriteEvent("", "token", fmt.Appendf(nil, `{"index":%d,"token":"0123456789abcdef"}`, i))
				}
			}, transport.with)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
			b.SetParallelism(benchStreams)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					resp, err := client.Get(url)
					if err != nil {
						b.Error(err)
						return
					}
					scan := bufio.NewScanner(resp.Body)
					for scan.Scan() {
					}
					resp.Body.Close()
				}
			})
			b.ReportMetric(float64(b.N*benchTokens)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
