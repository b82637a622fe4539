// Package tally adds up what became of the calls of a run.
//
// Times are taken from the moment when a call was meant to be sent, not from
// when it was: a sender that falls behind would otherwise leave out just the
// waits that matter (coordinated omission). How late the sender itself was is
// reported beside them, so that a reader can tell its share.
package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiashelf.dev/load/internal/call"
	"fuchsiashelf.dev/load/internal/plan"
)

// Recorder adds up a run. Set the exported fields, then Start.
type Recorder struct {
	// Warmup is the first part of the run, whose calls are not counted.
	Warmup time.Duration
	// Duration is the length of the run.
	Duration time.Duration
	// Tick is the length of one row of the time series.
	Tick time.Duration

	mu      sync.Mutex
	began   time.Time
	all     *group
	teams   map[string]*group
	late    *hdrhistogram.Histogram
	skipped int
	faults  []*fault
	ticks   []tick
}

// group holds the figures of all calls, or of one team's.
type group struct {
	offered, whole, refused, failed, lost, wrong int
	tokens                                       int
	codes                                        map[string]int
	first, gap, total, refusal, plain            *hdrhistogram.Histogram
}

// fault is a fault of the run and the streams that were open when it began.
type fault struct {
	what string
	at   time.Time
	// stalls are the times from the fault to the next token of each.
	stalls []time.Duration
	// ended counts those that got no further token.
	ended int
}

// tick is one row of the time series.
type tick struct {
	offered, tokens, whole, refused, bad int
	first                                *hdrhistogram.Histogram
}

// The range and precision of the histograms, in microseconds and digits.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, digits)
}

func newGroup() *group {
	return &group{
		codes: map[string]int{},
		first: newHistogram(), gap: newHistogram(), total: newHistogram(), refusal: newHistogram(),
		plain: newHistogram(),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

// Start begins the run.
func (t *Recorder) Start(now time.Time) {
	t.began = now
	t.all = newGroup()
	t.teams = map[string]*group{}
	t.late = newHistogram()
	t.ticks = make([]tick, t.Duration/t.Tick+1)
	for i := range t.ticks {
		t.ticks[i].first = hdrhistogram.New(lowest, highest, 2)
	}
}

// Fault notes that a fault begins.
func (t *Recorder) Fault(what string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, &fault{what: what, at: now})
}

// Skip notes a shot that was not sent, since too many calls were open.
func (t *Recorder) Skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

// counted reports whether a moment lies in the part that is counted.
func (t *Recorder) counted(at time.Time) bool {
	since := at.Sub(t.began)
	return since >= t.Warmup && since < t.Duration
}

// row returns the row of the time series of a moment, or nil after the end.
func (t *Recorder) row(at time.Time) *tick {
	i := int(at.Sub(t.began) / t.Tick)
	if i < 0 || i >= len(t.ticks) {
		return nil
	}
	return &t.ticks[i]
}

// team returns the group of a team.
func (t *Recorder) team(name string) *group {
	g := t.teams[name]
	if g == nil {
		g = newGroup()
		t.teams[name] = g
	}
	return g
}

// Open notes that the call of a shot is sent now.
func (t *Recorder) Open(shot plan.Arrival, now time.Time) *Stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Stream{tally: t, shot: shot, meant: t.began.Add(shot.At)}
	if r := t.row(s.meant); r != nil {
		r.offered++
	}
	if t.counted(s.meant) {
		t.all.offered++
		t.team(shot.Team).offered++
		record(t.late, now.Sub(s.meant))
	}
	return s
}

// both applies a change to the figures of all and of the stream's team.
func (s *Stream) both(change func(*group)) {
	change(s.tally.all)
	change(s.tally.team(s.shot.Team))
}

// Stream is one call under way. It implements call.Watch.
type Stream struct {
	tally *Recorder
	shot  plan.Arrival
	meant time.Time
	last  time.Time
	times []time.Time
}

// Token notes the arrival of a token.
func (s *Stream) Token(at time.Time) {
	t := s.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.last.IsZero() {
		s.first(at)
	} else {
		t.stalled(s.last, at)
		if t.counted(at) && !s.shot.Plain {
			s.both(func(g *group) { record(g.gap, at.Sub(s.last)) })
		}
	}
	s.last = at
	s.times = append(s.times, at)
}

func (s *Stream) first(at time.Time) {
	wait := at.Sub(s.meant)
	if s.shot.Plain {
		if s.tally.counted(s.meant) {
			s.both(func(g *group) { record(g.plain, wait) })
		}
		return
	}
	if s.tally.counted(s.meant) {
		s.both(func(g *group) { record(g.first, wait) })
	}
	if r := s.tally.row(s.meant); r != nil {
		record(r.first, wait)
	}
}

// stalled notes the time to the next token for each fault that began between
// two tokens of a stream.
func (t *Recorder) stalled(last, at time.Time) {
	for _, f := range t.faults {
		if f.at.After(last) && !f.at.After(at) {
			f.stalls = append(f.stalls, at.Sub(f.at))
		}
	}
}

// Close notes what became of the call.
func (s *Stream) Close(o call.Outcome, now time.Time) {
	t := s.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Result == call.Complete {
		s.count()
	} else {
		s.cut(now)
	}
	if r := t.row(now); r != nil {
		r.note(o.Result)
	}
	if t.counted(s.meant) {
		s.both(func(g *group) { g.note(o, now.Sub(s.meant)) })
	}
}

// count adds the tokens of a whole answer, each at the moment it came. So an
// answer that the end of the run cuts across counts in part, and tokens of an
// answer that turns out wrong never count.
func (s *Stream) count() {
	if s.shot.Plain {
		return
	}
	for _, at := range s.times {
		if r := s.tally.row(at); r != nil {
			r.tokens++
		}
		if s.tally.counted(at) {
			s.both(func(g *group) { g.tokens++ })
		}
	}
}

// cut notes a stream that got no further token after a fault.
func (s *Stream) cut(now time.Time) {
	for _, f := range s.tally.faults {
		if !s.last.IsZero() && f.at.After(s.last) && !f.at.After(now) {
			f.ended++
		}
	}
}

func (r *tick) note(grade call.Result) {
	switch grade {
	case call.Complete:
		r.whole++
	case call.Refused:
		r.refused++
	case call.Failed, call.Lost, call.Wrong:
		r.bad++
	}
}

func (g *group) note(o call.Outcome, took time.Duration) {
	if o.Code != "" {
		g.codes[o.Code+" "+o.Verdict]++
	}
	switch o.Result {
	case call.Complete:
		g.whole++
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
