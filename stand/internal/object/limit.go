package object

import "golang.org/x/time/rate"

// limit refuses calls beyond a rate. A nil limit refuses none.
type limit struct{ *rate.Limiter }

// newLimit returns a limit of calls a second with a burst of a tenth of a
// second's worth; zero means no limit.
func newLimit(perSecond int) *limit {
	if perSecond <= 0 {
		return nil
	}
	return &limit{rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))}
}

func (l *limit) allow() bool {
	return l == nil || l.Allow()
}
