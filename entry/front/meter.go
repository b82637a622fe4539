package front

import (
	"fmt"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/entry/call"
)

// Meter counts requests by outcome and records their durations by route kind.
type Meter struct {
	// Registry holds the counters and histograms.
	Registry metrics.Registry
}

// sampleSize is the number of durations that a histogram keeps, chosen at random.
const sampleSize = 512

// record counts a request and records its durations.
func (m *Meter) record(j *call.Job, out call.Outcome, took time.Duration) {
	m.Count("requests." + outcome(out))
	if out.Ending.ByHost() {
		m.Count("ended." + string(out.Ending))
	}
	if j == nil {
		return
	}
	kind := j.Route.Kind.String()
	m.Count("requests." + kind)
	m.Observe("took."+kind, took)
	if out.TimeToFirstByte > 0 {
		m.Observe("first."+kind, out.TimeToFirstByte)
	}
	if out.Sends > 1 {
		m.Count("repeats." + kind)
	}
}

// Count increments a counter.
func (m *Meter) Count(name string) {
	metrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}

// SetGauge sets a gauge.
func (m *Meter) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.Registry).Update(value)
}

// Observe adds a duration, in milliseconds, to a histogram.
func (m *Meter) Observe(name string, d time.Duration) {
	item := m.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	if histogram, ok := item.(metrics.Histogram); ok {
		histogram.Update(d.Milliseconds())
	}
}

// outcome returns the name of an outcome in the metrics.
func outcome(out call.Outcome) string {
	switch {
	case out.Truncated:
		return "broken"
	case out.Error != nil:
		return string(out.Error.Code)
	case out.Status >= 200 && out.Status < 300:
		return "ok"
	}
	return fmt.Sprintf("status-%d", out.Status)
}

// WriteText writes all metrics as text, one per line. Durations are in milliseconds.
func (m *Meter) WriteText(w io.Writer) {
	m.Registry.Each(func(name string, item any) {
		switch item := item.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, item.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "%s %d\n", name, item.Value())
		case metrics.Histogram:
			percentiles := item.Percentiles([]float64{0.5, 0.95, 0.99})
			fmt.Fprintf(w, "%s count %d p50 %.0f p95 %.0f p99 %.0f ms\n", name, item.Count(), percentiles[0], percentiles[1], percentiles[2])
		}
	})
}
