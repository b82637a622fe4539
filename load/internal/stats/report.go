package stats

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarizes a distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Summary holds the results of a group of calls.
type Summary struct {
	// Offered counts the calls sent. It is the sum of the next five, except for
	// calls that are still open.
	Offered  int `json:"offered"`
	Complete int `json:"whole"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Lost     int `json:"lost"`
	Wrong    int `json:"wrong"`
	// CompletePerSecond and TokensPerSecond are the goodput: complete and correct
	// responses, and their tokens.
	CompletePerSecond float64 `json:"wholePerSecond"`
	TokensPerSecond   float64 `json:"tokensPerSecond"`
	// First is the time from the scheduled send to the first token.
	First Quantiles `json:"first"`
	// Gap is the time between two tokens of a stream.
	Gap Quantiles `json:"gap"`
	// Plain is the time to the response of a plain call.
	Plain Quantiles `json:"plain"`
	// Total is the time to the end of a complete response.
	Total Quantiles `json:"total"`
	// Refusal is the time to a refusal.
	Refusal Quantiles `json:"refusal"`
	// Codes counts errors by code and verdict.
	Codes map[string]int `json:"codes,omitempty"`
}

// FaultImpact is the effect of a fault on the streams that were open when it was
// injected.
type FaultImpact struct {
	// Fault is the fault as chaos.Fault prints it.
	Fault string `json:"what"`
	// AtMs is when the fault was injected, from the start of the run.
	AtMs float64 `json:"atMs"`
	// NextMs are the times from the fault to the next token of each stream,
	// ascending.
	NextMs []float64 `json:"nextMs"`
	// Ended counts the streams that failed without another token.
	Ended int `json:"ended"`
}

// Sample is one row of the time series.
type Sample struct {
	AtMs     float64 `json:"atMs"`
	Offered  int     `json:"offered"`
	Tokens   int     `json:"tokens"`
	Complete int     `json:"whole"`
	Refused  int     `json:"refused"`
	// Bad counts the calls that failed, were lost or got a wrong response.
	Bad int `json:"bad"`
	// FirstP50 and FirstP95 are quantiles of the time to the first token of the
	// calls scheduled in this row, in milliseconds.
	FirstP50 float64 `json:"firstP50"`
	FirstP95 float64 `json:"firstP95"`
}

// Report is the result of a run.
type Report struct {
	// Seconds is the length of the measured part of the run, without the warm-up.
	Seconds float64 `json:"seconds"`
	Summary
	// Skipped counts the arrivals that were not sent because too many calls were
	// open.
	Skipped int `json:"skipped"`
	// Late is the delay from the scheduled send to the actual one.
	Late   Quantiles          `json:"late"`
	Teams  map[string]Summary `json:"teams"`
	Faults []FaultImpact      `json:"faults,omitempty"`
	TickMs float64            `json:"tickMs"`
	Series []Sample           `json:"series"`
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000,
	}
}

func (g *group) summary(seconds float64) Summary {
	return Summary{
		Offered: g.offered, Complete: g.complete, Refused: g.refused,
		Failed: g.failed, Lost: g.lost, Wrong: g.wrong,
		CompletePerSecond: float64(g.complete) / seconds,
		TokensPerSecond:   float64(g.tokens) / seconds,
		First:             quantiles(g.first), Gap: quantiles(g.gap),
		Plain: quantiles(g.plain), Total: quantiles(g.total), Refusal: quantiles(g.refusal),
		Codes: maps.Clone(g.codes),
	}
}

// Report returns the results so far.
func (r *Recorder) Report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	seconds := (r.Duration - r.Warmup).Seconds()
	report := &Report{
		Seconds: seconds, Summary: r.all.summary(seconds), Skipped: r.skipped,
		Late: quantiles(r.late), Teams: map[string]Summary{}, TickMs: ms(r.Tick),
	}
	for name, g := range r.teams {
		report.Teams[name] = g.summary(seconds)
	}
	for _, f := range r.faults {
		report.Faults = append(report.Faults, f.impact(r.startedAt))
	}
	for i := range r.buckets {
		report.Series = append(report.Series, r.buckets[i].sample(time.Duration(i)*r.Tick))
	}
	return report
}

// impact returns the effect of the fault, with times from the start of the run.
func (f *openFault) impact(startedAt time.Time) FaultImpact {
	impact := FaultImpact{Fault: f.name, AtMs: ms(f.at.Sub(startedAt)), Ended: f.ended, NextMs: []float64{}}
	for _, d := range slices.Sorted(slices.Values(f.stalls)) {
		impact.NextMs = append(impact.NextMs, ms(d))
	}
	return impact
}

func (b *bucket) sample(at time.Duration) Sample {
	return Sample{
		AtMs: ms(at), Offered: b.offered, Tokens: b.tokens, Complete: b.complete,
		Refused: b.refused, Bad: b.bad,
		FirstP50: float64(b.first.ValueAtQuantile(50)) / 1000,
		FirstP95: float64(b.first.ValueAtQuantile(95)) / 1000,
	}
}
