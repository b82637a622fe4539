package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/stall"
)

// NoAnswerError is the cause of the error of a request that was written and got no answer before
// the deadline.
type NoAnswerError struct {
	// NewConn says that the connection was established for this request, so that the server's
	// machine accepts connections. A reused connection does not show that.
	NewConn bool
	Cause   error
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	if e.NewConn {
		return fmt.Sprintf("no answer on a new connection: %v", e.Cause)
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// StatusError is the cause of the error of a request whose server sent a response with a status that no
// answer has.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("conns: no answer has the status %03d", e.Status)
}

// exchange writes a request and reads up to the header of its response.
func (p *Pool) exchange(ctx context.Context, c *conn, req *http.Request, o Options) (*Response, error) {
	if err := c.setLong(req.ContentLength > longRequest); err != nil {
		return nil, err
	}
	// Header and body are written at once, so that they are sent in one packet if they
	// fit.
	bw := bufio.NewWriterSize(c.Conn, 2048+int(min(req.ContentLength, 32<<10)))
	if err := req.Write(bw); err != nil {
		return nil, err
	}
	if err := bw.Flush(); err != nil {
		return nil, err
	}
	stall.Restart(ctx)
	for range maxResponses {
		c.received.allowance = maxHead
		resp, err := http.ReadResponse(c.br, req)
		c.received.allowance = unbounded
		if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return nil, &NoAnswerError{NewConn: c.idleSince.IsZero(), Cause: err}
		}
		if err != nil {
			return nil, err
		}
		switch interim := resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols; {
		case interim:
			continue
		case !fault.IsFinalStatus(resp.StatusCode):
			return nil, &StatusError{Status: resp.StatusCode}
		}
		info := o.Inspect(resp)
		if !info.OtherRequest {
			return &Response{Response: resp, conn: c, info: info}, nil
		}
		if err := skip(resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, errors.New("only answers to other requests")
}
