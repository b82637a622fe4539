package stats

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
)

// Text writes the report for people.
func (r *Report) Text(w io.Writer) {
	fmt.Fprintf(w, "counted %.1f s: offered %d, whole %d, refused %d, failed %d, lost %d, wrong %d, skipped %d\n",
		r.Seconds, r.Offered, r.Complete, r.Refused, r.Failed, r.Lost, r.Wrong, r.Skipped)
	fmt.Fprintf(w, "goodput %.1f answers/s, %.1f tokens/s\n", r.CompletePerSecond, r.TokensPerSecond)
	fmt.Fprintf(w, "%-14s %8s %9s %9s %9s %9s\n", "ms", "count", "p50", "p95", "p99", "max")
	for _, line := range []struct {
		name string
		s    Quantiles
	}{
		{"first token", r.First},
		{"gap", r.Gap},
		{"plain call", r.Plain},
		{"whole answer", r.Total},
		{"refusal", r.Refusal},
		{"sender late", r.Late},
	} {
		s := line.s
		fmt.Fprintf(w, "%-14s %8d %9.2f %9.2f %9.2f %9.2f\n", line.name, s.Count, s.P50, s.P95, s.P99, s.Max)
	}
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(w, "error %s: %d\n", code, r.Codes[code])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		f := r.Teams[name]
		fmt.Fprintf(w, "team %s: offered %d, whole %d, refused %d, first token p95 %.2f ms\n",
			name, f.Offered, f.Complete, f.Refused, f.First.P95)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "fault %s: %d streams went on, %d ended\n", f.What, len(f.NextMs), f.Ended)
	}
}

// CSV writes the time series.
func (r *Report) CSV(w io.Writer) error {
	out := csv.NewWriter(w)
	rows := [][]string{{"at_ms", "offered", "tokens", "whole", "refused", "bad", "first_p50_ms", "first_p95_ms"}}
	decimal := func(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
	for _, row := range r.Series {
		rows = append(rows, []string{
			decimal(row.AtMs), strconv.Itoa(row.Offered), strconv.Itoa(row.Tokens), strconv.Itoa(row.Complete),
			strconv.Itoa(row.Refused), strconv.Itoa(row.Bad), decimal(row.FirstP50), decimal(row.FirstP95),
		})
	}
	return out.WriteAll(rows)
}
