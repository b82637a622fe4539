package conns

import (
	"errors"
	"io"
)

const (
	// maxHead bounds the head of a response, and of each interim one before it.
	maxHead = 64 << 10
	// maxSkipped bounds the body of a response to another request, which is read so that the
	// connection can be used for the one that follows.
	maxSkipped = 1 << 20
	// unbounded is the allowance of a body, which its reader bounds.
	unbounded = -1
)

// ErrEndless says that a server has sent more bytes than the head of a response has, or than are
// skipped. A server in trouble may send bytes that are no response until its client closes.
var ErrEndless = errors.New("conns: bytes without end in place of an answer")

// boundedReader reads up to an allowance, and fails beyond it.
type boundedReader struct {
	io.Reader
	allowance int
}

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.allowance == unbounded {
		return r.Reader.Read(b)
	}
	if r.allowance == 0 {
		return 0, ErrEndless
	}
	n, err := r.Reader.Read(b[:min(len(b), r.allowance)])
	r.allowance -= n
	return n, err
}

// skip reads the rest of a response to another request.
func skip(body io.Reader) error {
	n, err := io.CopyN(io.Discard, body, maxSkipped+1)
	switch {
	case n > maxSkipped:
		return ErrEndless
	case err == io.EOF:
		return nil
	}
	return err
}
