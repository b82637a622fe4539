package logs_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/logs"
)

// buffer is an output that is safe for concurrent writes.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(line)
}

// Guards against requests that block on the log when nothing reads standard
// output.
func TestWriteNeverBlocks(t *testing.T) {
	w := &logs.Writer{Out: &buffer{}}
	const lines = 5000
	for range lines {
		n, err := w.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len("line\n"))
	}
	qt.Assert(t, w.Dropped() > 0, qt.IsTrue)
	qt.Assert(t, w.Dropped() < lines, qt.IsTrue)
}

// Guards against a log that grows by megabytes a second and hides the cause
// when a fault makes every request log the same line.
func TestLinesPerMessageAreLimited(t *testing.T) {
	out := &buffer{}
	w := &logs.Writer{Out: out}
	ctx, end := context.WithCancel(context.Background())
	go w.Run(ctx)
	log := logs.New(w).With("node", "a")
	for range 1000 {
		log.Info("request: ended")
	}
	log.Info("config: taken")
	end()
	<-w.Done()
	qt.Assert(t, strings.Count(out.data.String(), "request: ended") < 300, qt.IsTrue)
	qt.Assert(t, strings.Count(out.data.String(), "config: taken"), qt.Equals, 1)
}

func BenchmarkLine(b *testing.B) {
	w := &logs.Writer{Out: &buffer{}}
	log := logs.New(w)
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request: ended", "request", "9c41d07be2a35f68", "status", 200)
	}
}
