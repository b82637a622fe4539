package poison

import "time"

// maxRecent bounds the causes in each of the two generations of Answers.
const maxRecent = 4096

// Answers counts the answers to requests with each cause, a few at most. The zero value is ready
// to use. When the newer generation is full, it replaces the older one.
type Answers struct {
	newer, older map[Cause]recentAnswer
}

type recentAnswer struct {
	n    int
	last time.Time
}

// Add counts an answer.
func (a *Answers) Add(cause Cause, now time.Time) {
	n := a.Count(cause, now)
	if a.newer == nil || len(a.newer) >= maxRecent {
		a.newer, a.older = map[Cause]recentAnswer{}, a.newer
	}
	a.newer[cause] = recentAnswer{min(n+1, maxEarlierAnswers), now}
}

// Count returns the number of answers, unless the last one is too old to count.
func (a *Answers) Count(cause Cause, now time.Time) int {
	r, known := a.newer[cause]
	if !known {
		r = a.older[cause]
	}
	if now.Sub(r.last) > crashTTL {
		return 0
	}
	return r.n
}
