package retry

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// MaxAttempts bounds the chains that one request is sent to.
const MaxAttempts = 6

// RetryAfter is when a caller whose request was given up should come again: by
// then a server that failed is avoided, or serves again.
const RetryAfter = time.Second

// Failure is a failed attempt.
type Failure struct {
	// Error is how it failed.
	Error *fault.Error
	// Attempt is its number, from 1.
	Attempt int
	// Left is the time until the request's deadline.
	Left time.Duration
	// CallerConnected says that the caller is still there.
	CallerConnected bool
	// Sent is the number of tokens that the caller has.
	Sent int
}

// ShouldRetry reports whether another attempt may help, and whether it has to be
// paid for from the budget. An attempt that is known not to have run costs
// the servers next to nothing.
func (f Failure) ShouldRetry() (again, pay bool) {
	if !f.CallerConnected || f.Left <= 0 || f.Attempt >= MaxAttempts {
		return false, false
	}
	switch f.Error.Code {
	case fault.ServerFailed, fault.ServerRefused, fault.BrokenAnswer:
		return true, f.Error.Verdict != fault.NotRun
	}
	return false, false
}

// Final returns the error that the caller sees once the request is given up.
// The verdict is the weakest of all attempts.
func (f Failure) Final(all fault.Verdict) *fault.Error {
	final := *f.Error
	final.Verdict = all
	switch final.Code {
	case fault.ServerFailed, fault.ServerRefused, fault.BrokenAnswer, fault.NoCover, fault.NoServer, fault.Overloaded:
		final.RetryAfter = max(final.RetryAfter, RetryAfter)
	}
	return &final
}
