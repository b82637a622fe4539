package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/entry/internal/relay"
	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
)

// The metrics of this package.
var (
	requestCount   = metrics.NewRegisteredCounter("gate.requests", nil)
	tokenCount     = metrics.NewRegisteredCounter("gate.tokens", nil)
	openResponses  = metrics.NewRegisteredCounter("gate.open", nil)
	firstTokenTime = metrics.NewRegisteredTimer("gate.first", nil)
	tokenGap       = metrics.NewRegisteredTimer("gate.gap", nil)
	queueWait      = metrics.NewRegisteredTimer("gate.queue", nil)
)

// countRefusal counts an error returned to a caller, by its code.
func countRefusal(code fault.Code) {
	metrics.GetOrRegisterCounter("gate.refusals."+string(code), nil).Inc(1)
}

// countEnded counts a response that was ended after its first token, by cause.
func countEnded(e *fault.Error) {
	metrics.GetOrRegisterCounter("gate.ended."+relay.EndCause(e), nil).Inc(1)
}

// registerGauges registers gauges of the state of a pool's controller.
func registerGauges(pool string, ctrl *admit.Controller) {
	for name, stat := range map[string]func(admit.Stats) float64{
		"limit":   func(s admit.Stats) float64 { return s.Limit },
		"running": func(s admit.Stats) float64 { return float64(s.Running) },
		"waiting": func(s admit.Stats) float64 { return float64(s.Waiting) },
		"wait":    func(s admit.Stats) float64 { return s.Wait },
	} {
		gauge := metrics.NewFunctionalGaugeFloat64(func() float64 { return stat(ctrl.Stats()) })
		_ = metrics.Register("admit."+name+"."+pool, gauge)
	}
}

// timedStream is an eventStream that measures the response. It updates the
// metrics once, at the end of the response, so that a token costs a clock reading
// but no lock.
type timedStream struct {
	*eventStream
	controller  *admit.Controller
	startedAt   time.Time
	first, last time.Time
	count       int
}

// Token implements relay.Sink.
func (t *timedStream) Token(index int, text string) error {
	t.last = time.Now()
	if t.count == 0 {
		t.first = t.last
	}
	t.count++
	return t.eventStream.Token(index, text)
}

// report updates the metrics and the pool's controller with the timings of the
// response.
func (t *timedStream) report() {
	tokenCount.Inc(int64(t.count))
	if t.count == 0 {
		return
	}
	firstTokenTime.Update(t.first.Sub(t.startedAt))
	if t.count == 1 {
		return
	}
	gap := t.last.Sub(t.first) / time.Duration(t.count-1)
	tokenGap.Update(gap)
	if t.controller != nil {
		t.controller.ObserveGap(gap)
	}
}
