// Package stats aggregates the results of the calls of a run.
//
// Latencies are measured from the scheduled send time of a call, not from the
// actual one: a sender that falls behind would otherwise omit the longest waits
// (coordinated omission). The delay of the sender is also reported separately, to
// show its share of the latencies.
package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiashelf.dev/load/internal/call"
	"fuchsiashelf.dev/load/internal/plan"
)

// Recorder aggregates the results of a run. Set the exported fields, then call
// Start.
type Recorder struct {
	// Warmup is the first part of the run, whose calls are not measured.
	Warmup time.Duration
	// Duration is the length of the run.
	Duration time.Duration
	// Tick is the length of one row of the time series.
	Tick time.Duration

	mu        sync.Mutex
	startedAt time.Time
	all       *group
	teams     map[string]*group
	late      *hdrhistogram.Histogram
	skipped   int
	faults    []*openFault
	buckets   []bucket
}

// group aggregates all calls, or the calls of one team.
type group struct {
	offered, complete, refused, failed, lost, wrong int
	tokens                                          int
	codes                                           map[string]int
	first, gap, total, refusal, plain               *hdrhistogram.Histogram
}

// openFault is a fault of the run and its effect on the streams that were open when
// it was injected.
type openFault struct {
	name string
	at   time.Time
	// stalls are the times from the fault to the next token of each stream.
	stalls []time.Duration
	// ended counts the streams that failed without another token.
	ended int
}

// bucket aggregates one row of the time series.
type bucket struct {
	offered, tokens, complete, refused, bad int
	first                                   *hdrhistogram.Histogram
}

// The range of the histograms in microseconds, and their precision in significant
// digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func newGroup() *group {
	return &group{
		codes: map[string]int{},
		first: newHistogram(), gap: newHistogram(), total: newHistogram(), refusal: newHistogram(),
		plain: newHistogram(),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Start begins the run.
func (r *Recorder) Start(now time.Time) {
	r.startedAt = now
	r.all = newGroup()
	r.teams = map[string]*group{}
	r.late = newHistogram()
	r.buckets = make([]bucket, r.Duration/r.Tick+1)
	for i := range r.buckets {
		r.buckets[i].first = hdrhistogram.New(minMicros, maxMicros, 2)
	}
}

// RecordFault records that a fault is injected.
func (r *Recorder) RecordFault(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, &openFault{name: name, at: now})
}

// Skip records that an arrival was not sent because too many calls were open.
func (r *Recorder) Skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

// inWindow reports whether a time lies in the measured part of the run.
func (r *Recorder) inWindow(at time.Time) bool {
	since := at.Sub(r.startedAt)
	return since >= r.Warmup && since < r.Duration
}

// bucketAt returns the bucket of a time, or nil outside the run.
func (r *Recorder) bucketAt(at time.Time) *bucket {
	i := int(at.Sub(r.startedAt) / r.Tick)
	if i < 0 || i >= len(r.buckets) {
		return nil
	}
	return &r.buckets[i]
}

// team returns the group of a team and creates it if needed.
func (r *Recorder) team(name string) *group {
	g := r.teams[name]
	if g == nil {
		g = newGroup()
		r.teams[name] = g
	}
	return g
}

// Open records that the call of an arrival is sent now.
func (r *Recorder) Open(arrival plan.Arrival, now time.Time) *Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Stream{recorder: r, arrival: arrival, scheduled: r.startedAt.Add(arrival.At)}
	if b := r.bucketAt(s.scheduled); b != nil {
		b.offered++
	}
	if r.inWindow(s.scheduled) {
		r.all.offered++
		r.team(arrival.Team).offered++
		record(r.late, now.Sub(s.scheduled))
	}
	return s
}

// update applies a change to the group of all calls and to that of the team.
func (s *Stream) update(change func(*group)) {
	change(s.recorder.all)
	change(s.recorder.team(s.arrival.Team))
}

// Stream is one call in progress. It implements call.TokenObserver.
type Stream struct {
	recorder   *Recorder
	arrival    plan.Arrival
	scheduled  time.Time
	lastToken  time.Time
	tokenTimes []time.Time
}

// Token records the arrival of a token.
func (s *Stream) Token(at time.Time) {
	r := s.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.lastToken.IsZero() {
		s.recordFirst(at)
	} else {
		r.recordStall(s.lastToken, at)
		if r.inWindow(at) && !s.arrival.Plain {
			s.update(func(g *group) { record(g.gap, at.Sub(s.lastToken)) })
		}
	}
	s.lastToken = at
	s.tokenTimes = append(s.tokenTimes, at)
}

// recordFirst records the time to the first token, or to the response of a plain
// call.
func (s *Stream) recordFirst(at time.Time) {
	wait := at.Sub(s.scheduled)
	if s.arrival.Plain {
		if s.recorder.inWindow(s.scheduled) {
			s.update(func(g *group) { record(g.plain, wait) })
		}
		return
	}
	if s.recorder.inWindow(s.scheduled) {
		s.update(func(g *group) { record(g.first, wait) })
	}
	if b := s.recorder.bucketAt(s.scheduled); b != nil {
		record(b.first, wait)
	}
}

// recordStall records the time to the next token for each fault injected between two
// tokens of a stream.
func (r *Recorder) recordStall(last, at time.Time) {
	for _, f := range r.faults {
		if f.at.After(last) && !f.at.After(at) {
			f.stalls = append(f.stalls, at.Sub(f.at))
		}
	}
}

// Close records the outcome of the call.
func (s *Stream) Close(o call.Outcome, now time.Time) {
	r := s.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Result == call.Complete {
		s.countTokens()
	} else {
		s.recordEnded(now)
	}
	if b := r.bucketAt(now); b != nil {
		b.add(o.Result)
	}
	if r.inWindow(s.scheduled) {
		s.update(func(g *group) { g.add(o, now.Sub(s.scheduled)) })
	}
}

// countTokens counts the tokens of a complete response, each at its time of
// arrival. So a response that extends past the end of the run counts in part, and
// one that turns out wrong does not count.
func (s *Stream) countTokens() {
	if s.arrival.Plain {
		return
	}
	for _, at := range s.tokenTimes {
		if b := s.recorder.bucketAt(at); b != nil {
			b.tokens++
		}
		if s.recorder.inWindow(at) {
			s.update(func(g *group) { g.tokens++ })
		}
	}
}

// recordEnded counts a failed stream for each fault after which it got no token.
func (s *Stream) recordEnded(now time.Time) {
	for _, f := range s.recorder.faults {
		if !s.lastToken.IsZero() && f.at.After(s.lastToken) && !f.at.After(now) {
			f.ended++
		}
	}
}

func (b *bucket) add(result call.Result) {
	switch result {
	case call.Complete:
		b.complete++
	case call.Refused:
		b.refused++
	case call.Failed, call.Lost, call.Wrong:
		b.bad++
	}
}

func (g *group) add(o call.Outcome, took time.Duration) {
	if o.Code != "" {
		g.codes[o.Code+" "+o.Verdict]++
	}
	switch o.Result {
	case call.Complete:
		g.complete++
		record(g.total, took)
	case call.Refused:
		g.refused++
		record(g.refusal, took)
	case call.Failed:
		g.failed++
	case call.Lost:
		g.lost++
	case call.Wrong:
		g.wrong++
	}
}
