package stream

import (
	"sync"
	"time"

	"fuchsiashelf.dev/parts/health"
)

const (
	// failureWeight is the part of a new outcome in a server's share: three
	// failures in a row make more than half.
	failureWeight = 0.25
	// failureCostSeconds is the cost of a failure in the choice of a chain. The prompt is
	// read again elsewhere, and a server that always fails uses up the retry budget
	// within a second.
	failureCostSeconds = 3
)

// Failures holds how first servers of chains did lately. Others are not seen:
// the first one answers for the chain. The zero value is ready.
type Failures struct {
	mu    sync.Mutex
	rates map[string]*health.FailureRate
}

// Record takes the outcome of an answer.
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

// ExpectedDelay returns the seconds that starting a chain at a server may cost.
func (f *Failures) ExpectedDelay(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	rate := f.rates[id]
	if rate == nil {
		return 0
	}
	return failureCostSeconds * rate.At(time.Now())
}

// Expire forgets servers that have not failed for long.
func (f *Failures) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, rate := range f.rates {
		if rate.At(now) < negligibleRate {
			delete(f.rates, id)
		}
	}
}

// negligibleRate makes no difference to any choice.
const negligibleRate = 0.005
