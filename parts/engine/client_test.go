package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

func newStream(lines ...string) *Stream {
	body := io.NopCloser(strings.NewReader(strings.Join(lines, "\n")))
	return &Stream{body: body, scanner: bufio.NewScanner(body)}
}

// Fields that a line omits must be empty, whatever the previous frame had. A
// stale span or token would be passed on as new.
func TestFramesDoNotShareFields(t *testing.T) {
	c := quicktest.New(t)
	s := newStream(
		`{"request":"r1","attempt":1,"index":0,"token":"t0","spans":[{"server":"a1","end":8,"runUs":5,"linkUs":7},{"server":"a2","first":8,"end":16}]}`,
		`{"request":"r2","attempt":2,"index":1,"token":"t1","spans":[{"server":"b1","end":4}]}`,
		`{"request":"r2","attempt":2,"end":true,"count":2}`,
	)
	first, err := s.Next()
	c.Assert(err, quicktest.IsNil)
	token := first.Token
	c.Assert(first.Spans, quicktest.DeepEquals, []Span{
		{Server: "a1", End: 8, RunUs: 5, LinkUs: 7}, {Server: "a2", First: 8, End: 16},
	})
	second, err := s.Next()
	c.Assert(err, quicktest.IsNil)
	c.Assert(second.Spans, quicktest.DeepEquals, []Span{{Server: "b1", End: 4}})
	c.Assert(token, quicktest.Equals, "t0")
	third, err := s.Next()
	c.Assert(err, quicktest.IsNil)
	c.Assert(third.End, quicktest.IsTrue)
	c.Assert(third.Spans, quicktest.HasLen, 0)
	_, err = s.Next()
	c.Assert(err, quicktest.Equals, io.EOF)
}

func TestBadFrame(t *testing.T) {
	for _, line := range []string{`{"request":`, `[]`, `{"index":"x"}`, `nothing`} {
		_, err := newStream(line).Next()
		quicktest.Check(t, err, quicktest.ErrorMatches, "(?s)engine: bad frame: .*", quicktest.Commentf(line))
	}
}

// FuzzFrame compares frameDecoder with encoding/json.
func FuzzFrame(f *testing.F) {
	f.Add(`{"request":"r1","attempt":1,"token":"a\u00e9","spans":[{"server":"a1","end":8}]}`)
	f.Add(`{"fail":{"server":"a1","what":"x","refused":true}}`)
	f.Fuzz(func(t *testing.T, line string) {
		if strings.ContainsAny(line, "\r\n") || line == "" {
			return
		}
		var want Frame
		wantErr := json.Unmarshal([]byte(line), &want)
		got, gotErr := newStream(line).Next()
		if wantErr != nil || gotErr != nil {
			return
		}
		wantText, _ := json.Marshal(want)
		if gotText, _ := json.Marshal(got); string(gotText) != string(wantText) {
			t.Fatalf("%q: got %s, want %s", line, gotText, wantText)
		}
	})
}

// Guards against engines that send bytes without end in place of an answer, in its head or its body.
func TestBytesWithoutEnd(t *testing.T) {
	for _, begin := range []string{"", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n{\"name\":\"", "HTTP/1.1 200 OK\r\n\r\n"} {
		c := quicktest.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, quicktest.IsNil)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, err = io.WriteString(conn, begin)
			for piece := []byte(strings.Repeat("x", 16<<10)); err == nil; {
				_, err = conn.Write(piece)
			}
		}()
		client := &Client{HTTP: NewHTTP((&net.Dialer{}).DialContext)}
		if begin == "HTTP/1.1 200 OK\r\n\r\n" {
			stream, err := client.Generate(t.Context(), &Request{Chain: []Stage{{Address: l.Addr().String()}}})
			c.Assert(err, quicktest.IsNil)
			_, err = stream.Next()
			c.Check(err, quicktest.ErrorIs, bufio.ErrTooLong)
			c.Check(stream.Close(), quicktest.IsNil)
		} else {
			_, err = client.Status(t.Context(), l.Addr().String())
			c.Check(err, quicktest.IsNotNil)
		}
		<-ended
		c.Check(l.Close(), quicktest.IsNil)
	}
}
