package poison

import "time"

const (
	// trialDelay is how long after its last crash a blocked cause is tried again. After each
	// pause between crashes it is trialDelayGrowth times as long, and BlockFor at most.
	trialDelay       = 10 * time.Second
	trialDelayGrowth = 4
	// minPause is the time between two crashes from which the second one counts as that of a
	// trial.
	minPause = trialDelay / 2
	// trialTimeout ends a trial whose outcome was not recorded.
	trialTimeout = 30 * time.Second
	// minRetryAfter is the shortest delay for callers of blocked requests.
	minRetryAfter = time.Second
)

// trial is a request with a blocked cause that is run to find out whether it still crashes
// servers.
type trial struct {
	request string
	until   time.Time
}

// Admit reports whether a request may be sent to a server. It may although it is blocked if it is a
// trial, which Close ends; only one server may get a trial.
func (d *Detector) Admit(causes []Cause, requestID string, now time.Time) (admitted, isTrial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var blocked *suspect
	for _, c := range causes {
		if !d.blocked[c] {
			continue
		}
		s := d.suspects[c]
		if blocked != nil || now.Before(s.nextTrial()) || now.Before(s.trial.until) || d.Owns != nil && !d.Owns(c) {
			return false, false
		}
		blocked = s
	}
	if blocked == nil {
		return true, false
	}
	blocked.trial = trial{requestID, now.Add(trialTimeout)}
	d.Log.Info("crashes: blocked cause is tried again", "request", requestID, "causes", causes)
	return true, true
}

// Close ends the trial of a request, if it is one.
func (d *Detector) Close(causes []Cause, requestID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range causes {
		if s := d.suspects[c]; s != nil && s.trial.request == requestID {
			s.trial = trial{}
		}
	}
}

// nextTrial returns when a blocked cause may be tried again: after each trial that crashes a server
// later, and at once after an answer.
func (s *suspect) nextTrial() time.Time {
	sorted := s.sorted()
	last := sorted[len(sorted)-1].at
	if answered := s.answered(); answered.After(last) {
		return answered
	}
	delay := trialDelay
	for i := 1; i < len(sorted); i++ {
		if sorted[i].at.Sub(sorted[i-1].at) >= minPause {
			delay = min(delay*trialDelayGrowth, BlockFor)
		}
	}
	return last.Add(delay)
}
