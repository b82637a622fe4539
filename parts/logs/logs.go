// Package logs writes structured logs that never slow a request.
//
// Lines are JSON objects of log/slog. They go into a bounded queue, and one
// goroutine writes them out. A full queue, because nobody reads standard
// output, drops lines and counts them; so does a limit a second on the lines
// of one kind, so that a fault which hits every request leaves the log
// readable. Dropped lines are told in the log as soon as there is room.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of a log.
const (
	// queued lines wait for standard output at most, some 300 bytes each.
	queued = 2048
	// perSecond lines of one message are written. At some 3 us a line, 20
	// kinds of lines at their limit take under a hundredth of a core.
	perSecond = 100
)

// Writer is the queue in front of an output. Set Out before Run.
type Writer struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func (w *Writer) init() {
	w.once.Do(func() {
		w.lines = make(chan []byte, queued)
		w.done = make(chan struct{})
	})
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.init()
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes lines out until the context ends and the queue is empty.
func (w *Writer) Run(ctx context.Context) {
	w.init()
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.out(line)
		case <-ctx.Done():
			w.rest()
			return
		}
	}
}

// rest writes what is queued at the end.
func (w *Writer) rest() {
	for {
		select {
		case line := <-w.lines:
			w.out(line)
		default:
			return
		}
	}
}

// out writes one line. An output that fails has nobody to tell.
func (w *Writer) out(line []byte) {
	if _, err := w.Out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Done is closed when Run has written the last line.
func (w *Writer) Done() <-chan struct{} {
	w.init()
	return w.done
}

// Limiter bounds the lines of each message to a number a second. Further ones
// are counted, and the count goes into the next line of the same message.
type Limiter struct {
	slog.Handler
	counts *sync.Map
}

// New returns a logger to the writer.
func New(w *Writer) *slog.Logger {
	return slog.New(&Limiter{Handler: slog.NewJSONHandler(w, nil), counts: &sync.Map{}})
}

type count struct {
	second  atomic.Int64
	lines   atomic.Int64
	skipped atomic.Int64
}

// Handle implements slog.Handler.
func (h *Limiter) Handle(ctx context.Context, r slog.Record) error {
	found, ok := h.counts.Load(r.Message)
	if !ok {
		found, _ = h.counts.LoadOrStore(r.Message, &count{})
	}
	c := found.(*count)
	second := r.Time.Truncate(time.Second).Unix()
	if c.second.Swap(second) != second {
		c.lines.Store(0)
	}
	if c.lines.Add(1) > perSecond && r.Level < slog.LevelError {
		c.skipped.Add(1)
		return nil
	}
	if skipped := c.skipped.Swap(0); skipped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64("skipped", skipped))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Limiter{Handler: h.Handler.WithAttrs(attrs), counts: h.counts}
}

// WithGroup implements slog.Handler.
func (h *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{Handler: h.Handler.WithGroup(name), counts: h.counts}
}
