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
	"time"

	"github.com/bytedance/sonic"

	"fuchsiashelf.dev/parts/fault"
)

// maxFrame bounds one line of an engine's answer, in bytes.
const maxFrame = 256 << 10

// Client talks to engines. The zero value works.
type Client struct {
	// HTTP is the client underneath; nil means one of the package's own.
	HTTP *http.Client
}

// dialTimeout bounds the time to connect. A host that is gone without a
// trace answers nothing, and only this tells it from a slow one.
const dialTimeout = 2 * time.Second

// maxIdle bounds the idle connections kept to one engine.
const maxIdle = 256

var shared = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	MaxIdleConnsPerHost: maxIdle,
	DisableCompression:  true,
}}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return shared
}

// Stream is an answer under way. Close it to cancel.
type Stream struct {
	body  io.ReadCloser
	scan  *bufio.Scanner
	frame Frame
}

// Generate sends a request to the first server of its chain. The error is a
// *fault.Error.
func (c *Client) Generate(ctx context.Context, ask *Request) (*Stream, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	first := ask.Chain[0]
	url := "http://" + first.Address + "/v1/generate"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	// A body that cannot be read twice keeps net/http from resending.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http().Do(req)
	if err != nil {
		return nil, &fault.Error{Code: fault.ServerFailed, Verdict: fault.SendVerdict(err), Server: first.Server, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, refusal(resp, first.Server)
	}
	scan := bufio.NewScanner(resp.Body)
	scan.Buffer(nil, maxFrame)
	return &Stream{body: resp.Body, scan: scan}, nil
}

func refusal(resp *http.Response, server string) *fault.Error {
	e := &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Server: server}
	e.Message = fmt.Sprintf("status %d", resp.StatusCode)
	if why := resp.Header.Get(NotRunHeader); why != "" {
		e.Code, e.Verdict, e.Message = fault.ServerRefused, fault.NotRun, why
	}
	return e
}

// frames decodes frames. It is the one decoder whose cost counts, for each
// token of each answer. Strings are copied, since the scanner's buffer is used
// again for the next line.
var frames = sonic.Config{CopyString: true, ValidateString: true}.Froze()

// Next returns the next frame, or io.EOF when the engine closed the stream.
// Its spans are valid until the next call.
func (s *Stream) Next() (Frame, error) {
	if !s.scan.Scan() {
		if err := s.scan.Err(); err != nil {
			return Frame{}, err
		}
		return Frame{}, io.EOF
	}
	// What the line does not fill must not keep the values of the last one.
	spans := s.frame.Spans
	clear(spans[:cap(spans)])
	s.frame = Frame{Spans: spans[:0]}
	if err := frames.Unmarshal(s.scan.Bytes(), &s.frame); err != nil {
		return Frame{}, fmt.Errorf("engine: bad frame: %w", err)
	}
	return s.frame, nil
}

// Close cancels the answer.
func (s *Stream) Close() error {
	return s.body.Close()
}

// Status asks an engine for its report.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	resp, err := c.http().Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, refusal(resp, address)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}
