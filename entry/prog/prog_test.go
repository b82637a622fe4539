package prog_test

import (
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/prog"
)

// Guards against an entry host that is held up, and cannot be stopped, because nobody reads its log.
func TestLogThatNobodyReads(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer taken.Close()
	unread, stderr := io.Pipe()
	defer unread.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	status := prog.Main(ctx, []string{
		"-name", "a", "-domain", "d", "-store", "127.0.0.1:1", "-peer-secret", "p", "-desk-secret", "d", "-callers", taken.Addr().String(),
	}, nil, io.Discard, stderr)
	qt.Assert(t, status, qt.Equals, 0)
}
