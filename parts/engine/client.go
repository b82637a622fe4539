package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/bytedance/sonic"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/stall"
)

// maxFrame is the maximum length of one line of a response stream, in bytes.
const maxFrame = 256 << 10

// Client sends requests to engines. The zero value is ready to use.
type Client struct {
	// HTTP is the underlying client; nil means a default client that all
	// Clients share.
	HTTP *http.Client
}

// dialTimeout bounds the time to connect. A host that is down may send no
// reply at all, and only this timeout distinguishes it from a slow one.
const dialTimeout = 2 * time.Second

// maxIdle bounds the idle connections per engine.
const maxIdle = 256

const (
	// maxHead bounds the head of a response, and maxStatus the status that an engine reports. An engine in
	// trouble may send bytes without end.
	maxHead   = 64 << 10
	maxStatus = 1 << 20
)

// defaultClient is used by Clients without an HTTP client of their own.
var defaultClient = NewHTTP((&net.Dialer{Timeout: dialTimeout}).DialContext)

// NewHTTP returns a client for Client.HTTP that connects with the given function.
func NewHTTP(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdle, DisableCompression: true, MaxResponseHeaderBytes: maxHead,
	}}
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultClient
}

// Stream is the response to a request. Close it to cancel the request.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	frame   Frame
}

// Generate sends a request to the first server of its chain. The error is a
// *fault.Error.
func (c *Client) Generate(ctx context.Context, request *Request) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	first := request.Chain[0]
	url := "http://" + first.Address + "/v1/generate"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	// Without GetBody, net/http cannot resend the request on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http().Do(req)
	if err != nil {
		return nil, &fault.Error{Code: fault.ServerFailed, Verdict: fault.SendVerdict(err), Server: first.Server, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, responseError(resp, first.Server)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxFrame)
	return &Stream{body: resp.Body, scanner: scanner}, nil
}

// responseError converts a response with a status other than 200 to an error.
func responseError(resp *http.Response, server string) *fault.Error {
	e := &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Server: server}
	e.Message = fmt.Sprintf("status %d", resp.StatusCode)
	if reason := resp.Header.Get(NotRunHeader); reason != "" {
		e.Code, e.Verdict, e.Message = fault.ServerRefused, fault.NotRun, reason
	}
	return e
}

// frameDecoder decodes frames. It is the only decoder that runs for every
// token, so its CPU cost matters. Strings are copied, since the scanner
// reuses its buffer for the next line.
var frameDecoder = sonic.Config{CopyString: true, ValidateString: true}.Froze()

// Next returns the next frame, or io.EOF when the engine has closed the
// stream. The spans are valid until the next call.
func (s *Stream) Next() (Frame, error) {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); err != nil {
			return Frame{}, err
		}
		return Frame{}, io.EOF
	}
	// The spans are reused, so clear the values of the previous frame.
	spans := s.frame.Spans
	clear(spans[:cap(spans)])
	s.frame = Frame{Spans: spans[:0]}
	if err := frameDecoder.Unmarshal(s.scanner.Bytes(), &s.frame); err != nil {
		return Frame{}, fmt.Errorf("engine: bad frame: %w", err)
	}
	return s.frame, nil
}

// Close cancels the request.
func (s *Stream) Close() error {
	return s.body.Close()
}

// Status returns the status that an engine reports.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	// The wait for the engine begins when the request is written.
	restart := func() { stall.Restart(ctx) }
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { restart() },
		WroteRequest:         func(httptrace.WroteRequestInfo) { restart() },
		GotFirstResponseByte: restart,
	}))
	resp, err := c.http().Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, responseError(resp, address)
	}
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&s)
}
