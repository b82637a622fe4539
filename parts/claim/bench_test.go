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
)

// slow is a store that answers after a round trip.
type slow struct {
	memory
	trip time.Duration
}

func (s *slow) Get(ctx context.Context, key string) (store.Object, error) {
	time.Sleep(s.trip)
	return s.memory.Get(ctx, key)
}

func (s *slow) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	time.Sleep(s.trip)
	return s.memory.Put(ctx, key, value, version)
}

// offerFor is how long claims are offered.
const offerFor = 2 * time.Second

// BenchmarkGroupCommit offers claims at a rate to one writer with its share
// of the store's writes, and reports claims and store writes a second and the
// wait of the slowest of 20. Run it with -benchtime=1x. The pauses belong to
// the model, not to a check.
func BenchmarkGroupCommit(b *testing.B) {
	const trip = 5 * time.Millisecond
	for _, budget := range []float64{0, 75} {
		for _, perSecond := range []int{25, 75, 300, 1000} {
			b.Run(fmt.Sprintf("budget=%g/rate=%d", budget, perSecond), func(b *testing.B) {
				benchWriter(b, budget, perSecond, trip)
			})
		}
	}
}

func benchWriter(b *testing.B, budget float64, perSecond int, trip time.Duration) {
	m := &slow{trip: trip}
	m.objects = map[string]store.Object{}
	w := &Writer{Store: m, Log: slog.New(slog.DiscardHandler), Writes: budget, Done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = w.Run(ctx) }()
	var all sync.WaitGroup
	var granted atomic.Int64
	offered := perSecond * int(offerFor/time.Second) * b.N
	waits := make([]time.Duration, offered)
	b.ResetTimer()
	began := time.Now()
	for i := range offered {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(due))
		all.Go(func() {
			t := take(fmt.Sprint(i), rand.Uint64()|1)
			t.Record.Until = time.Now().Add(time.Hour).UnixMilli()
			found, _ := w.Take(ctx, t)
			if _, ok := found.(Granted); ok {
				granted.Add(1)
			}
			waits[i] = time.Since(due)
		})
	}
	all.Wait()
	took := time.Since(began).Seconds()
	cancel()
	<-w.Done
	b.ReportMetric(float64(granted.Load())/took, "claims/s")
	b.ReportMetric(float64(m.writes)/took, "writes/s")
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
