package resv

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which the rate is averaged.
	rateWindow = time.Second
	// assumedRate is the rate, per second, of a host that has served nothing yet.
	assumedRate = 10
	// minRate is the lowest rate, per second, from which waits are computed.
	minRate = 1
)

// meter measures a rate as an exponential moving average.
type meter struct {
	used bool
	// average is the rate per second as of at.
	average float64
	at      time.Duration
}

// add counts an event.
func (m *meter) add(at time.Duration) {
	m.average = m.rate(at) + 1/rateWindow.Seconds()
	m.used, m.at = true, max(at, m.at)
}

// rate returns the rate per second.
func (m *meter) rate(at time.Duration) float64 {
	if !m.used {
		return assumedRate
	}
	return m.average * math.Exp(-max(at-m.at, 0).Seconds()/rateWindow.Seconds())
}

// duration returns how long n events take, at most maxDelay.
func (m *meter) duration(n int, at time.Duration) time.Duration {
	seconds := float64(n) / max(m.rate(at), minRate)
	return time.Duration(min(seconds, maxDelay.Seconds()) * float64(time.Second))
}
