package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a request of a caller.
type call struct {
	id, method, target string
	header             map[string]string
	body               string
	timeout            time.Duration
}

// answer is what a caller got.
type answer struct {
	status    int
	header    http.Header
	signature string
	body      string
	// whole says that the answer ended as its framing says.
	whole bool
	err   error
	took  time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %s: %v", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%d after %s, "+names.ID+" %q, "+names.Signature+" %q, whole %v, %d bytes %.90q",
		a.status, a.took.Round(time.Millisecond), a.header.Get(names.ID), a.signature, a.whole, len(a.body), a.body)
}

// channel is a caller's connection to an entry host, used for one request after the other.
type channel struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
}

// do sends a request and reads its answer. It opens a new connection if there is none.
func (c *channel) do(k call) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	a := c.exchange(k)
	if a.err != nil || !a.whole || a.header.Get("Connection") == "close" {
		c.close()
	}
	return a
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *channel) exchange(k call) (a answer) {
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	if err := c.conn.SetDeadline(start.Add(k.timeout)); err != nil {
		return answer{err: err}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n"+names.ID+": %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", k.method, k.target, routeHost, k.id, k.timeout.Milliseconds(), apiKey)
	for name, value := range k.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if k.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(k.body))
	}
	b.WriteString("\r\n" + k.body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: k.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return answer{
		status: resp.StatusCode, header: resp.Header, signature: resp.Header.Get(names.Signature), body: string(body),
		whole: err == nil, err: err,
	}
}
