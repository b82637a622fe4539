package stream

import (
	"sync"
	"time"

	"fuchsiashelf.dev/parts/health"
)

const (
	// learnFailures is the part of a new outcome in a server's share: three
	// failures in a row make more than half.
	learnFailures = 0.25
	// failureSeconds is the cost of a failure in the choice of a chain. The prompt is
	// read again elsewhere, and a server that always fails uses up the retry budget
	// within a second.
	failureSeconds = 3
)

// Failures holds how first servers of chains did lately. Others are not seen:
// the first one answers for the chain. The zero value is ready.
type Failures struct {
	mu     sync.Mutex
	shares map[string]*health.FailureRate
}

// Record takes the outcome of an answer.
func (f *Failures) Record(id string, failed bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.shares[id]
	if s == nil && !failed {
		return
	}
	if s == nil {
		if f.shares == nil {
			f.shares = map[string]*health.FailureRate{}
		}
		s = &health.FailureRate{Weight: learnFailures}
		f.shares[id] = s
	}
	s.Record(failed, now)
}

// ExpectedDelay returns the seconds that starting a chain at a server may cost.
func (f *Failures) ExpectedDelay(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.shares[id]
	if s == nil {
		return 0
	}
	return failureSeconds * s.At(time.Now())
}

// Expire forgets servers that have not failed for long.
func (f *Failures) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.shares {
		if s.At(now) < forgottenShare {
			delete(f.shares, id)
		}
	}
}

// forgottenShare makes no difference to any choice.
const forgottenShare = 0.005
