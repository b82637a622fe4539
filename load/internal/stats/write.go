package stats

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
)

// Text writes the report as text.
func (r *Report) Text(w io.Writer) {
	fmt.Fprintf(w, "counted %.1f s: offered %d, whole %d, refused %d, failed %d, lost %d, wrong %d, skipped %d\n",
		r.Seconds, r.Offered, r.Complete, r.Refused, r.Failed, r.Lost, r.Wrong, r.Skipped)
	fmt.Fprintf(w, "goodput %.1f answers/s, %.1f tokens/s\n", r.CompletePerSecond, r.TokensPerSecond)
	fmt.Fprintf(w, "%-14s %8s %9s %9s %9s %9s\n", "ms", "count", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{
		{"first token", r.First},
		{"gap", r.Gap},
		{"plain call", r.Plain},
		{"whole answer", r.Total},
		{"refusal", r.Refusal},
		{"sender late", r.Late},
	} {
		q := row.q
		fmt.Fprintf(w, "%-14s %8d %9.2f %9.2f %9.2f %9.2f\n", row.name, q.Count, q.P50, q.P95, q.P99, q.Max)
	}
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(w, "error %s: %d\n", code, r.Codes[code])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Teams)) {
		s := r.Teams[name]
		fmt.Fprintf(w, "team %s: offered %d, whole %d, refused %d, first token p95 %.2f ms\n",
			name, s.Offered, s.Complete, s.Refused, s.First.P95)
	}
	for _, s := range r.Faults {
		fmt.Fprintf(w, "fault %s: %d streams went on, %d ended\n", s.Fault, len(s.NextMs), s.Ended)
	}
}

// CSV writes the time series as CSV.
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
