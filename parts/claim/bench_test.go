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

// slowStore is a store whose calls take one round trip.
type slowStore struct {
	memStore
	roundTrip time.Duration
	reads     atomic.Int64
}

func (s *slowStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.reads.Add(1)
	wait.For(ctx, s.roundTrip)
	return s.memStore.Get(ctx, key)
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	wait.For(ctx, s.roundTrip)
	return s.memStore.Put(ctx, key, value, version)
}

// offerDuration is how long each benchmark offers calls.
const offerDuration = 2 * time.Second

// BenchmarkGroupCommit offers calls at a fixed rate to the writers of several
// entry hosts, each with its share of the store's write rate. It reports
// calls, writes and reads per second and the 95th percentile of the time to a
// claim. Run it with -benchtime=1x. The sleeps simulate load; no check
// depends on them.
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
	s := &slowStore{roundTrip: 5 * time.Millisecond}
	s.objects = map[string]store.Object{}
	ctx, cancel := context.WithCancel(context.Background())
	writers := make([]*Writer, entries)
	for i := range writers {
		writers[i] = &Writer{Store: s, Log: slog.New(slog.DiscardHandler), WriteRate: budget, Done: make(chan struct{})}
		go func() { _ = writers[i].Run(ctx) }()
	}
	var wg sync.WaitGroup
	var granted atomic.Int64
	offered := perSecond * int(offerDuration/time.Second) * b.N
	waits := make([]time.Duration, offered)
	b.ResetTimer()
	started := time.Now()
	for i := range offered {
		due := started.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		wait.For(context.Background(), time.Until(due))
		wg.Go(func() {
			w, t := writers[i%entries], newTake(fmt.Sprint(i), rand.Uint64()|1)
			t.Record.Until = time.Now().Add(time.Hour).UnixMilli()
			result, _ := w.Acquire(ctx, t)
			waits[i] = time.Since(due)
			if _, ok := result.(Granted); ok {
				granted.Add(1)
				<-w.Settle(settleOf(t))
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(started).Seconds()
	cancel()
	for _, w := range writers {
		<-w.Done
	}
	b.ReportMetric(float64(granted.Load())/elapsed, "calls/s")
	b.ReportMetric(float64(s.writes)/elapsed, "writes/s")
	b.ReportMetric(float64(s.reads.Load())/elapsed, "reads/s")
	b.ReportMetric(float64(p95(waits).Microseconds())/1000, "p95-ms")
}

func p95(waits []time.Duration) time.Duration {
	sorted := slices.Clone(waits)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}

// BenchmarkCommit measures the CPU time of one claim in a shard that already
// holds the given number of records.
func BenchmarkCommit(b *testing.B) {
	for _, records := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			s := &Shard{}
			for i := range records {
				s.put(newTake(fmt.Sprint("old", i), 1).Record)
			}
			value, _ := s.Encode()
			for b.Loop() {
				s.remove(newTake("new", 1).Record.Key)
				s.Apply(start, []Op{newTake("new", 1)})
				if _, err := s.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value))/float64(records), "bytes/record")
		})
	}
}
