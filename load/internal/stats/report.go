package stats

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles summarises a distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Summary are the figures of a group of calls.
type Summary struct {
	// Offered counts the calls sent; the next five add up to it, but for
	// calls that were still open when the run was given up.
	Offered  int `json:"offered"`
	Complete int `json:"whole"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Lost     int `json:"lost"`
	Wrong    int `json:"wrong"`
	// CompletePerSecond and TokensPerSecond are the goodput: whole and correct
	// answers, and the tokens of such answers.
	CompletePerSecond float64 `json:"wholePerSecond"`
	TokensPerSecond   float64 `json:"tokensPerSecond"`
	// First is the time to the first token, from the intended send time.
	First Quantiles `json:"first"`
	// Gap is the time between two tokens of a stream.
	Gap Quantiles `json:"gap"`
	// Plain is the time to the answer of a plain call.
	Plain Quantiles `json:"plain"`
	// Total is the time to the end of a whole answer.
	Total Quantiles `json:"total"`
	// Refusal is the time to a refusal.
	Refusal Quantiles `json:"refusal"`
	// Codes counts errors by code and verdict.
	Codes map[string]int `json:"codes,omitempty"`
}

// FaultImpact tells what a fault did to the streams that were open.
type FaultImpact struct {
	What string `json:"what"`
	// AtMs is when the fault began, from the start of the run.
	AtMs float64 `json:"atMs"`
	// NextMs are the times to the next token of each stream, ascending.
	NextMs []float64 `json:"nextMs"`
	// Ended counts streams that got no further token.
	Ended int `json:"ended"`
}

// Sample is one row of the time series.
type Sample struct {
	AtMs     float64 `json:"atMs"`
	Offered  int     `json:"offered"`
	Tokens   int     `json:"tokens"`
	Complete int     `json:"whole"`
	Refused  int     `json:"refused"`
	Bad      int     `json:"bad"`
	// FirstP50 and FirstP95 are of the calls that were meant to be sent in
	// this tick, in milliseconds.
	FirstP50 float64 `json:"firstP50"`
	FirstP95 float64 `json:"firstP95"`
}

// Report is the result of a run.
type Report struct {
	// Seconds is the length of the part that is counted.
	Seconds float64 `json:"seconds"`
	Summary
	// Skipped counts shots not sent, since too many calls were open.
	Skipped int `json:"skipped"`
	// Late is how late the sender itself was.
	Late   Quantiles          `json:"late"`
	Teams  map[string]Summary `json:"teams"`
	Faults []FaultImpact      `json:"faults,omitempty"`
	TickMs float64            `json:"tickMs"`
	Series []Sample           `json:"series"`
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func spread(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000,
	}
}

func (g *group) figures(seconds float64) Summary {
	return Summary{
		Offered: g.offered, Complete: g.whole, Refused: g.refused,
		Failed: g.failed, Lost: g.lost, Wrong: g.wrong,
		CompletePerSecond: float64(g.whole) / seconds,
		TokensPerSecond:   float64(g.tokens) / seconds,
		First:             spread(g.first), Gap: spread(g.gap),
		Plain: spread(g.plain), Total: spread(g.total), Refusal: spread(g.refusal),
		Codes: maps.Clone(g.codes),
	}
}

// Report returns the figures so far.
func (t *Recorder) Report() *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	seconds := (t.Duration - t.Warmup).Seconds()
	r := &Report{
		Seconds: seconds, Summary: t.all.figures(seconds), Skipped: t.skipped,
		Late: spread(t.late), Teams: map[string]Summary{}, TickMs: ms(t.Tick),
	}
	for name, g := range t.teams {
		r.Teams[name] = g.figures(seconds)
	}
	for _, f := range t.faults {
		r.Faults = append(r.Faults, f.stallsOf(t.began))
	}
	for i := range t.ticks {
		r.Series = append(r.Series, t.ticks[i].row(time.Duration(i)*t.Tick))
	}
	return r
}

func (f *fault) stallsOf(began time.Time) FaultImpact {
	s := FaultImpact{What: f.what, AtMs: ms(f.at.Sub(began)), Ended: f.ended, NextMs: []float64{}}
	for _, d := range slices.Sorted(slices.Values(f.stalls)) {
		s.NextMs = append(s.NextMs, ms(d))
	}
	return s
}

func (r *tick) row(at time.Duration) Sample {
	return Sample{
		AtMs: ms(at), Offered: r.offered, Tokens: r.tokens, Complete: r.whole,
		Refused: r.refused, Bad: r.bad,
		FirstP50: float64(r.first.ValueAtQuantile(50)) / 1000,
		FirstP95: float64(r.first.ValueAtQuantile(95)) / 1000,
	}
}
