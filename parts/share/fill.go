package share

import (
	"math"
	"slices"
)

// level returns the max-min fair level: the largest amount such that the demands, each
// limited to it, fit into the capacity. It is the largest demand if all fit.
func level(capacity float64, demands []float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	left := max(0, capacity)
	for i, d := range sorted {
		if equal := left / float64(len(sorted)-i); d > equal {
			return equal
		}
		left -= d
	}
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)-1]
}

// shares returns the max-min fair shares of classes. Those whose demand is met also get
// what their demand varies by, as far as the others have more than they. The variances of
// independent demands add up, so each gets its part of the common deviation.
func shares(capacity float64, demands, variances []float64) []float64 {
	limit := level(capacity, demands)
	variance := 0.0
	for i, d := range demands {
		if d < limit {
			variance += variances[i]
		}
	}
	list := slices.Clone(demands)
	if variance > 0 {
		perVariance := deviations / math.Sqrt(variance)
		for i, d := range demands {
			if d < limit {
				list[i] += perVariance * variances[i]
			}
		}
	}
	limit = level(capacity, list)
	for i := range list {
		list[i] = min(list[i], limit)
	}
	return list
}
