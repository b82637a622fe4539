package plan

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Point is the arrival rate at one time, in requests per second.
type Point struct {
	At   time.Duration
	Rate float64
}

// Ramp is an arrival rate that is interpolated linearly between points. Before the
// first point and after the last the rate is constant.
type Ramp []Point

// ParseRamp parses a constant rate, as in "200", or points, as in
// "0s:100,10s:200,20s:50".
func ParseRamp(text string) (Ramp, error) {
	var r Ramp
	for part := range strings.SplitSeq(text, ",") {
		at, rate, found := strings.Cut(part, ":")
		if !found {
			at, rate = "0s", part
		}
		p, err := parsePoint(at, rate)
		if err != nil {
			return nil, err
		}
		if len(r) > 0 && p.At <= r[len(r)-1].At {
			return nil, fmt.Errorf("rate: %s does not come after the point before it", at)
		}
		r = append(r, p)
	}
	return r, nil
}

func parsePoint(at, rate string) (Point, error) {
	when, err := time.ParseDuration(at)
	if err != nil {
		return Point{}, fmt.Errorf("rate: %q is not a duration", at)
	}
	value, err := strconv.ParseFloat(rate, 64)
	if err != nil || value < 0 {
		return Point{}, fmt.Errorf("rate: %q is not a rate", rate)
	}
	return Point{At: when, Rate: value}, nil
}

// Rate returns the rate at a time.
func (r Ramp) Rate(at time.Duration) float64 {
	for i, p := range r {
		if at >= p.At {
			continue
		}
		if i == 0 {
			return p.Rate
		}
		before := r[i-1]
		fraction := float64(at-before.At) / float64(p.At-before.At)
		return before.Rate + fraction*(p.Rate-before.Rate)
	}
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1].Rate
}

// Peak returns the highest rate.
func (r Ramp) Peak() float64 {
	peak := 0.0
	for _, p := range r {
		peak = max(peak, p.Rate)
	}
	return peak
}
