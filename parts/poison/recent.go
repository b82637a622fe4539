package poison

import "time"

// maxRecent bounds the causes in each of the two generations of recentAnswers.
const maxRecent = 4096

// recentAnswers counts answers to requests with each cause, maxEarlierAnswers at most. When the
// newer generation is full, it replaces the older one.
type recentAnswers struct {
	newer, older map[Cause]recentAnswer
}

type recentAnswer struct {
	n    int
	last time.Time
}

// add counts an answer.
func (r *recentAnswers) add(cause Cause, now time.Time) {
	n := r.count(cause, now)
	if r.newer == nil || len(r.newer) >= maxRecent {
		r.newer, r.older = map[Cause]recentAnswer{}, r.newer
	}
	r.newer[cause] = recentAnswer{min(n+1, maxEarlierAnswers), now}
}

// count returns the number of answers, unless the last one is too old to count.
func (r *recentAnswers) count(cause Cause, now time.Time) int {
	a, known := r.newer[cause]
	if !known {
		a = r.older[cause]
	}
	if now.Sub(a.last) > crashTTL {
		return 0
	}
	return a.n
}
