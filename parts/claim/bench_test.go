package claim

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/wait"
)

// slow is a store that answers after a round trip.
type slow struct {
	memory
	trip  time.Duration
	reads atomic.Int64
}

func (s *slow) Get(ctx context.Context, key string) (store.Object, error) {
	s.reads.Add(1)
	wait.For(ctx, s.trip)
	return s.memory.Get(ctx, key)
}

func (s *slow) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	wait.For(ctx, s.trip)
	return s.memory.Put(ctx, key, value, version)
}

// offerFor is how long claims are offered.
const offerFor = 2 * time.Second

// BenchmarkGroupCommit offers calls at a rate to the writers of some entry
// hosts with their share of the store's writes. It reports calls and store
// calls a second and how long the slowest of 20 waited for its claim. Run it
// with -benchtime=1x. The pauses belong to the model, not to a check.
func BenchmarkGroupCommit(b *testing.B) {
	for _, entries := range []int{1, 4} {
		for _, budget := range []float64{0, 75} {
			for _, perSecond := range []int{25, 100, 300, 1000} {
				b.Run(fmt.Sprintf("entries=%d/budget=%g/rate=%d", entries, budget, perSecond), func(b *testing.B) {
					benchWriters(b, entries, budget, perSecond)
				})
			}
		}
	}
}

func benchWriters(b *testing.B, entries int, budget float64, perSecond int) {
	m := &slow{trip: 5 * time.Millisecond}
	m.objects = map[string]store.Object{}
	ctx, cancel := context.WithCancel(context.Background())
	writers := make([]*Writer, entries)
	for i := range writers {
		writers[i] = &Writer{Store: m, Log: slog.New(slog.DiscardHandler), Writes: budget, Done: make(chan struct{})}
		go func() { _ = writers[i].Run(ctx) }()
	}
	var all sync.WaitGroup
	var granted atomic.Int64
	offered := perSecond * int(offerFor/time.Second) * b.N
	waits := make([]time.Duration, offered)
	b.ResetTimer()
	began := time.Now()
	for i := range offered {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		wait.For(context.Background(), time.Until(due))
		all.Go(func() {
			w, t := writers[i%entries], take(fmt.Sprint(i), rand.Uint64()|1)
			t.Record.Until = time.Now().Add(time.Hour).UnixMilli()
			found, _ := w.Acquire(ctx, t)
			waits[i] = time.Since(due)
			if _, ok := found.(Granted); ok {
				granted.Add(1)
				<-w.Settle(done(t))
			}
		})
	}
	all.Wait()
	took := time.Since(began).Seconds()
	cancel()
	for _, w := range writers {
		<-w.Done
	}
	b.ReportMetric(float64(granted.Load())/took, "calls/s")
	b.ReportMetric(float64(m.writes)/took, "writes/s")
	b.ReportMetric(float64(m.reads.Load())/took, "reads/s")
	b.ReportMetric(float64(p95(waits).Microseconds())/1000, "p95-ms")
}

func p95(waits []time.Duration) time.Duration {
	sorted := slices.Clone(waits)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}

// BenchmarkCommit measures the processor time of one claim in a shard that
// holds so many records already.
func BenchmarkCommit(b *testing.B) {
	for _, records := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			s := &Shard{}
			for i := range records {
				s.put(take(fmt.Sprint("old", i), 1).Record)
			}
			value, _ := s.Encode()
			for b.Loop() {
				s.remove(take("new", 1).Record.Key)
				s.Apply(start, []Op{take("new", 1)})
				if _, err := s.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value))/float64(records), "bytes/record")
		})
	}
}
