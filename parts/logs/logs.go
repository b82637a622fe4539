// Package logs writes structured logs without delaying requests.
//
// Lines are JSON objects of log/slog. They go into a bounded queue, and one
// goroutine writes them out. If the queue is full because nothing reads standard
// output, lines are dropped and counted. The lines with the same message are
// also limited per second, so that a fault which affects every request leaves
// the log readable; the next line of that message reports how many were
// skipped.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// The limits of a log.
const (
	// queueLength is the maximum number of lines that wait for standard output,
	// about 300 bytes each.
	queueLength = 2048
	// maxLinesPerSecond limits the lines with the same message. At about 3 us
	// per line, 20 messages at their limit take less than a hundredth of a
	// core.
	maxLinesPerSecond = 100
)

// Writer queues lines for an output. Set Out before Run.
type Writer struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func (w *Writer) init() {
	w.once.Do(func() {
		w.lines = make(chan []byte, queueLength)
		w.done = make(chan struct{})
	})
}

// flushTime is how long the last lines may take.
const flushTime = 200 * time.Millisecond

// Open returns a writer that writes to an output until closeLog is called. closeLog writes out the lines
// that are still queued, unless the output takes longer than a moment for that.
func Open(output io.Writer) (w *Writer, closeLog func()) {
	w = &Writer{Out: output}
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	return w, func() {
		cancel()
		select {
		case <-w.Done():
		case <-time.After(flushTime):
		}
	}
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

// Dropped returns the number of lines that were lost because the queue was full
// or the output failed.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Run writes out lines until the context ends and the queue is empty.
func (w *Writer) Run(ctx context.Context) {
	w.init()
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeOut(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

// flush writes out the lines that are still queued at the end.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeOut(line)
		default:
			return
		}
	}
}

// writeOut writes one line. An error of the output cannot be reported, so the
// line is counted as dropped.
func (w *Writer) writeOut(line []byte) {
	if _, err := w.Out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Done returns a channel that is closed once Run has written the last line.
func (w *Writer) Done() <-chan struct{} {
	w.init()
	return w.done
}

// Limiter limits the lines with the same message per second. Further lines are
// skipped and counted, and the next line with that message reports the count.
type Limiter struct {
	slog.Handler
	counts *sync.Map
}

// New returns a logger that writes to w, limited by a Limiter.
func New(w *Writer) *slog.Logger {
	return slog.New(&Limiter{Handler: slog.NewJSONHandler(w, nil), counts: &sync.Map{}})
}

type messageCount struct {
	second  atomic.Int64
	lines   atomic.Int64
	skipped atomic.Int64
}

// Handle implements slog.Handler. Errors are never skipped.
func (h *Limiter) Handle(ctx context.Context, r slog.Record) error {
	found, ok := h.counts.Load(r.Message)
	if !ok {
		found, _ = h.counts.LoadOrStore(r.Message, &messageCount{})
	}
	c := found.(*messageCount)
	second := r.Time.Truncate(time.Second).Unix()
	if c.second.Swap(second) != second {
		c.lines.Store(0)
	}
	if c.lines.Add(1) > maxLinesPerSecond && r.Level < slog.LevelError {
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
