package share

import "time"

const (
	// bucketLength is the time whose samples are averaged before the maximum is taken. The
	// hosts heard from differ from sample to sample, and a maximum of single samples would
	// be far above the demand.
	bucketLength = 2 * time.Second
	// buckets is the number of such times that are kept: 20 s, longer than a wave of demand.
	buckets = 10
	// minSamples is the number of samples, of half a second, from which a bucket counts.
	minSamples = 5
	// settleTime is how long demand must have been received before it is used.
	settleTime = 3 * time.Second
)

// Demand is the demand for a service in a failure domain, in work per second.
type Demand struct {
	// Mean and Max are the mean and the maximum of the last 20 s.
	Mean, Max float64
}

// history holds the demand of the last 20 s.
type history struct {
	buckets       [buckets]bucket
	since, latest time.Time
}

// bucket is the sum of the samples of one bucketLength.
type bucket struct {
	number  int64
	sum     float64
	samples int
}

func (b bucket) mean() float64 { return b.sum / float64(b.samples) }

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }

// add records a sample.
func (h *history) add(value float64, now time.Time) {
	if h.outdated(now) {
		*h = history{since: now}
	}
	h.latest = now
	number := bucketNumber(now)
	b := &h.buckets[number%buckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.sum += value
	b.samples++
}

// outdated reports whether the history has no sample of the last 20 s.
func (h *history) outdated(now time.Time) bool { return now.Sub(h.latest) >= buckets*bucketLength }

// settled reports whether demand has been received for long enough.
func (h *history) settled(now time.Time) bool { return now.Sub(h.since) >= settleTime }

// demand returns the demand of the last 20 s.
func (h *history) demand(now time.Time) (d Demand) {
	n, oldest := 0, bucketNumber(now)-buckets
	for _, b := range h.buckets {
		if b.samples < minSamples || b.number <= oldest {
			continue
		}
		d.Mean += b.mean()
		d.Max = max(d.Max, b.mean())
		n++
	}
	if n > 0 {
		d.Mean /= float64(n)
	}
	return d
}
