package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/conns"
)

// Guards against requests that are lost because the process of their server is paused for two
// seconds, while its kernel still accepts what fits into the buffer of the connection.
func TestPausedServerGetsWholeBody(t *testing.T) {
	for _, size := range []int{1 << 10, 32 << 10, 256 << 10, 4 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			const pause = 2 * time.Second
			address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
				time.Sleep(pause)
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				n, err := io.Copy(io.Discard, r.Body)
				writeResponse(c, r.Header.Get("Id"), fmt.Sprint(n, " ", err))
			})
			p := &conns.Pool{}
			req := newRequest(address, "a")
			req.Method, req.ContentLength, req.Body = http.MethodPost, int64(size), io.NopCloser(strings.NewReader(strings.Repeat("x", size)))
			resp, err := p.Do(context.Background(), address, req, conns.Options{
				Inspect: func(*http.Response) conns.ResponseInfo { return conns.ResponseInfo{} },
			})
			qt.Assert(t, err, qt.IsNil)
			defer resp.Close()
			body, err := io.ReadAll(resp)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(body), qt.Equals, fmt.Sprint(size, " <nil>"))
		})
	}
}
