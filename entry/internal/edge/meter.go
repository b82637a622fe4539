package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
)

// The figures of the metrics page.
var (
	taken     = metrics.NewRegisteredCounter("gate.requests", nil)
	tokens    = metrics.NewRegisteredCounter("gate.tokens", nil)
	open      = metrics.NewRegisteredCounter("gate.open", nil)
	firstWait = metrics.NewRegisteredTimer("gate.first", nil)
	tokenGap  = metrics.NewRegisteredTimer("gate.gap", nil)
	queueWait = metrics.NewRegisteredTimer("gate.queue", nil)
)

// countRefusal counts an answer that is an error, by its code.
func countRefusal(code fault.Code) {
	metrics.GetOrRegisterCounter("gate.refusals."+string(code), nil).Inc(1)
}

// show puts what a door holds on the metrics page.
func show(pool string, d *admit.Controller) {
	for name, of := range map[string]func(admit.Stats) float64{
		"limit":   func(l admit.Stats) float64 { return l.Limit },
		"running": func(l admit.Stats) float64 { return float64(l.Running) },
		"waiting": func(l admit.Stats) float64 { return float64(l.Waiting) },
		"wait":    func(l admit.Stats) float64 { return l.Wait },
	} {
		gauge := metrics.NewFunctionalGaugeFloat64(func() float64 { return of(d.Stats()) })
		_ = metrics.Register("admit."+name+"."+pool, gauge)
	}
}

// timed is a sink that measures an answer on its way to the caller. Its
// figures go to the metrics page once, at the end of the answer, so that a
// token costs a clock reading and no lock.
type timed struct {
	*answer
	door        *admit.Controller
	began       time.Time
	first, last time.Time
	count       int
}

// Token implements relay.Sink.
func (t *timed) Token(index int, text string) error {
	t.last = time.Now()
	if t.count == 0 {
		t.first = t.last
	}
	t.count++
	return t.answer.Token(index, text)
}

// done reports the figures of the answer.
func (t *timed) done() {
	tokens.Inc(int64(t.count))
	if t.count == 0 {
		return
	}
	firstWait.Update(t.first.Sub(t.began))
	if t.count == 1 {
		return
	}
	gap := t.last.Sub(t.first) / time.Duration(t.count-1)
	tokenGap.Update(gap)
	if t.door != nil {
		t.door.ObserveGap(gap)
	}
}
