package retry

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// MaxAttempts is the maximum number of attempts of one request.
const MaxAttempts = 6

// RetryAfter is the minimum time after which the caller of a failed request should
// retry: by then a failed server is avoided or has recovered.
const RetryAfter = time.Second

// Failure describes a failed attempt.
type Failure struct {
	// Error is the cause.
	Error *fault.Error
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// CallerConnected says that the caller is still connected.
	CallerConnected bool
	// Sent is the number of tokens that were sent to the caller.
	Sent int
}

// ShouldRetry reports whether another attempt may help, and whether it is charged to
// the retry budget. A retry is free if the failed attempt is known not to have run,
// since that cost the servers next to nothing.
func (f Failure) ShouldRetry() (retry, charge bool) {
	if !f.CallerConnected || f.Remaining <= 0 || f.Attempt >= MaxAttempts {
		return false, false
	}
	switch f.Error.Code {
	case fault.ServerFailed, fault.ServerRefused, fault.InvalidResponse:
		return true, f.Error.Verdict != fault.NotRun
	}
	return false, false
}

// Final returns the error for the caller of a request that is not retried any more.
// The verdict is the weakest one of all attempts.
func (f Failure) Final(verdict fault.Verdict) *fault.Error {
	final := *f.Error
	final.Verdict = verdict
	switch final.Code {
	case fault.ServerFailed, fault.ServerRefused, fault.InvalidResponse, fault.NoCover, fault.NoServer, fault.Overloaded:
		final.RetryAfter = max(final.RetryAfter, RetryAfter)
	}
	return &final
}
