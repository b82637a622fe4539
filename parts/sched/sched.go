// Package sched measures whether this process gets enough processor time.
//
// The delay is how long goroutines that are ready to run wait until they do. On a host
// with processor time to spare it is well under a millisecond; on one that is out of it, every
// step of every request waits that long. A [Meter] samples the delay of the
// Go runtime, and says when the process begins and ceases to be saturated.
package sched

import (
	"runtime/metrics"
	"slices"
	"sync"
	"time"
)

const (
	// SampleInterval is the interval at which Sample is to be called.
	SampleInterval = 100 * time.Millisecond
	// saturatedDelay is the delay above which the process is saturated, and recoveredDelay
	// the delay below which it is no longer. A request takes some tens of steps.
	saturatedDelay = 10 * time.Millisecond
	recoveredDelay = 4 * time.Millisecond
	// saturatedSamples and recoveredSamples are the numbers of samples in a row after
	// which the state changes. A garbage collection delays goroutines for a single one.
	saturatedSamples = 2
	recoveredSamples = 5
	// quantile is the share of the delays in a sample that are shorter than the result.
	quantile = 0.75
	// latencies is the histogram of the runtime.
	latencies = "/sched/latencies:seconds"
)

// Meter measures the scheduling delay. The zero value is ready to use. It is safe for
// concurrent use.
type Meter struct {
	// Read returns the counts of delays since the start, by the lower bounds of their buckets in
	// seconds; nil reads those of the Go runtime.
	Read func() (counts []uint64, bounds []float64)

	mu        sync.Mutex
	last      []uint64
	delay     time.Duration
	saturated bool
	// streak counts the samples in a row that contradict the state.
	streak int
}

// Sample measures the delay since the last call. It reports whether the process has begun
// or ceased to be saturated.
func (m *Meter) Sample() (changed bool) {
	read := m.Read
	if read == nil {
		read = readRuntime
	}
	counts, bounds := read()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = delayBetween(m.last, counts, bounds)
	m.last = slices.Clone(counts)
	contradicts := m.delay > saturatedDelay
	needed := saturatedSamples
	if m.saturated {
		contradicts, needed = m.delay < recoveredDelay, recoveredSamples
	}
	if !contradicts {
		m.streak = 0
		return false
	}
	m.streak++
	if m.streak < needed {
		return false
	}
	m.saturated, m.streak = !m.saturated, 0
	return true
}

// Delay returns the delay in the last sample.
func (m *Meter) Delay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delay
}

// Saturated reports whether the process lacks processor time.
func (m *Meter) Saturated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.saturated
}

// delayBetween returns the delay that the quantile of the goroutines did not exceed between
// two readings.
func delayBetween(before, after []uint64, bounds []float64) time.Duration {
	if len(before) != len(after) {
		return 0
	}
	total := uint64(0)
	for i := range after {
		total += after[i] - before[i]
	}
	rest := float64(total) * quantile
	for i := range after {
		rest -= float64(after[i] - before[i])
		if rest <= 0 && total > 0 {
			return time.Duration(max(0, bounds[i]) * float64(time.Second))
		}
	}
	return 0
}

// readRuntime reads the histogram of the Go runtime.
func readRuntime() (counts []uint64, bounds []float64) {
	samples := []metrics.Sample{{Name: latencies}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return nil, nil
	}
	h := samples[0].Value.Float64Histogram()
	return h.Counts, h.Buckets
}
