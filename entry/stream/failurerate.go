package stream

import (
	"sync"
	"time"

	"fuchsiashelf.dev/parts/health"
)

const (
	// failureWeight is the weight of a new outcome in the failure rate of a server:
	// three failures in a row result in a rate above one half.
	failureWeight = 0.25
	// failureCostSeconds is the cost of a failure in the choice of a chain. The
	// prompt is read again on another server, and a server that always fails uses up
	// the retry budget within a second.
	failureCostSeconds = 3
)

// Failures keeps the recent failure rate of servers that start a chain. Other
// servers are not tracked, because the first one responds for the whole chain. The
// zero value is ready to use.
type Failures struct {
	mu    sync.Mutex
	rates map[string]*health.FailureRate
}

// Record records whether a response of a server failed.
func (f *Failures) Record(id string, failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rate := f.rates[id]
	if rate == nil && !failed {
		return
	}
	if rate == nil {
		if f.rates == nil {
			f.rates = map[string]*health.FailureRate{}
		}
		rate = &health.FailureRate{Weight: failureWeight}
		f.rates[id] = rate
	}
	rate.Record(failed, now)
}

// ExpectedDelay returns the cost, in seconds, of the failures to be expected if a
// chain starts at a server.
func (f *Failures) ExpectedDelay(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	rate := f.rates[id]
	if rate == nil {
		return 0
	}
	return failureCostSeconds * rate.At(time.Now())
}

// Expire removes the servers whose failure rate has become negligible.
func (f *Failures) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, rate := range f.rates {
		if rate.At(now) < negligibleRate {
			delete(f.rates, id)
		}
	}
}

// negligibleRate is too low to affect the choice of a chain.
const negligibleRate = 0.005
