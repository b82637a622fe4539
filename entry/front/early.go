package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// maxEarlyBody limits how much of a request body is read before the limits of the configuration are
// known.
const maxEarlyBody = 64 << 10

// earlyBody reads the start of a request body while the request is held. net/http notices that a
// caller has left only once the whole body has been read; the callers of larger bodies go unnoticed.
type earlyBody struct {
	io.ReadCloser

	// start and err are valid once done is closed.
	start bytes.Buffer
	err   error
	done  chan struct{}
}

// readEarly begins to read the body of a request, and calls fail if that fails. The body stays
// readable from its start.
func readEarly(r *http.Request, fail context.CancelCauseFunc) *earlyBody {
	b := &earlyBody{ReadCloser: r.Body, done: make(chan struct{})}
	if r.ContentLength == 0 {
		close(b.done)
		return b
	}
	r.Body = b
	go func() {
		defer close(b.done)
		_, err := io.CopyN(&b.start, b.ReadCloser, maxEarlyBody)
		if err != nil && !errors.Is(err, io.EOF) {
			b.err = err
			fail(err)
		}
	}()
	return b
}

// Read implements io.Reader.
func (b *earlyBody) Read(p []byte) (int, error) {
	<-b.done
	if b.start.Len() > 0 {
		return b.start.Read(p)
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}

// abandon ends the reading of the body of a request that is refused, so that the response is not
// delayed until the caller has sent the rest.
func (b *earlyBody) abandon(w http.ResponseWriter) {
	select {
	case <-b.done:
		return
	default:
	}
	w.Header().Set("Connection", "close")
	if http.NewResponseController(w).SetReadDeadline(time.Now()) == nil {
		<-b.done
	}
}
