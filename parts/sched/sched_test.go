package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/sched"
)

// Guards against a host that is out of processor time and does not notice, or does not
// notice that it has enough again; one delayed sample is not enough for either.
func TestMeter(t *testing.T) {
	counts := []uint64{0, 0, 0}
	m := &sched.Meter{Read: func() ([]uint64, []float64) { return counts, []float64{0, 0.001, 0.020} }}
	add := func(bucket int) bool {
		counts[bucket] += 100
		return m.Sample()
	}
	m.Sample()
	qt.Assert(t, add(2), qt.IsFalse)
	qt.Assert(t, m.Delay(), qt.Equals, 20*time.Millisecond)
	qt.Assert(t, add(0), qt.IsFalse)
	qt.Assert(t, add(2), qt.IsFalse)
	qt.Assert(t, add(2), qt.IsTrue)
	qt.Assert(t, m.Saturated(), qt.IsTrue)
	for range 4 {
		qt.Assert(t, add(0), qt.IsFalse)
	}
	qt.Assert(t, add(1), qt.IsTrue)
	qt.Assert(t, m.Saturated(), qt.IsFalse)
}

// Guards against a histogram of the runtime that is named otherwise.
func TestMeterReadsRuntime(t *testing.T) {
	var m sched.Meter
	m.Sample()
	done := make(chan struct{})
	go close(done)
	<-done
	m.Sample()
	qt.Assert(t, m.Saturated(), qt.IsFalse)
}
