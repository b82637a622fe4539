package object

import "golang.org/x/time/rate"

// rateLimit limits the rate of calls. A nil rateLimit allows every call.
type rateLimit struct{ *rate.Limiter }

// newRateLimit returns a limit of calls per second with a burst of a tenth of that
// number, at least 1. Zero means no limit.
func newRateLimit(perSecond int) *rateLimit {
	if perSecond <= 0 {
		return nil
	}
	return &rateLimit{rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))}
}

func (l *rateLimit) allow() bool {
	return l == nil || l.Allow()
}
