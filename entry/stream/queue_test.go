package stream

import (
	"log/slog"
	"testing"
	"time"

	"fuchsiashelf.dev/entry/queue"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/share"
)

// newAdmission returns an admission at a host that is alone.
func newAdmission() *queue.Admission {
	log := slog.New(slog.DiscardHandler)
	alive := func() map[domain.Name]int { return map[domain.Name]int{"a": 1} }
	return &queue.Admission{Shares: &share.Tracker{Self: "host", Domain: "a", Alive: alive, Log: log}, Book: &resv.Book{Log: log}, Log: log}
}

// fullQueue returns an admission that accepts no more requests into its queue. Those in it are
// larger than any server.
func fullQueue(t *testing.T) *queue.Admission {
	a := newAdmission()
	never := func(float64) (bool, *fault.Error) { return false, nil }
	r := queue.Request{Class: share.Class{Service: "assist"}, Cost: 1e12, MaxWait: time.Minute, Deadline: time.Now().Add(time.Hour)}
	for waiting := 1; ; waiting++ {
		refused := make(chan struct{})
		go func() {
			_, _ = a.Enter(t.Context(), r, never)
			close(refused)
		}()
		for a.Stats().Waiting < waiting {
			select {
			case <-refused:
				return a
			case <-time.After(time.Millisecond):
			}
		}
	}
}
