package owner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/owner"
)

// step is the resolution of the simulation, and the time that messages and answers take.
const step = 10 * time.Millisecond

// shortProbes is the number of probes that must fail before a server is suspected.
const shortProbes = 2

// sim simulates 143 entry hosts and 96 servers in three failure domains. Hosts probe servers as
// entry/stream does, and exchange results as entry/gossip does.
type sim struct {
	rand    *rand.Rand
	now     time.Time
	hosts   []*simHost
	servers []simServer
	// index holds the index of each server by ID.
	index map[string]int
	dead  map[string]bool
	// cut says that the first domain is cut off.
	cut     bool
	pending []message
	// exchanges is the number of exchanges of messages.
	exchanges int
}

type simServer struct {
	id     string
	domain int
	// owners are the owners of the server in all domains that share probes.
	owners map[string]bool
}

type simHost struct {
	owner.Tracker
	domain int
	loops  map[int]*simLoop
	// until holds the ends of suspicions, detected and cleared when the last one began and ended.
	until, detected, cleared map[int]time.Time
	// streams holds the servers that streams pass through.
	streams                     map[int]bool
	need, broadcast, forward    bool
	notify                      map[string]bool
	nextExchange, lastBroadcast time.Time
}

// simLoop is a series of probes. Each is due delay after the one before, and ends at end.
type simLoop struct {
	misses int
	delay  time.Duration
	end    time.Time
}

type message struct {
	from, to         *simHost
	failed, answered []owner.Result
	respond          bool
}

// newSim returns a simulation in which hosts share probes, or each probes for itself.
func newSim(seed uint64, shared bool) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), dead: map[string]bool{}, index: map[string]int{}}
	sets := make([]owner.Set, 3)
	for d, n := range []int{41, 50, 52} {
		var names []string
		for i := range n {
			h := &simHost{
				domain: d, loops: map[int]*simLoop{}, until: map[int]time.Time{}, detected: map[int]time.Time{}, cleared: map[int]time.Time{},
				streams: map[int]bool{}, notify: map[string]bool{}, nextExchange: s.now.Add(time.Duration(s.rand.IntN(400)) * time.Millisecond),
			}
			h.Hosts.Self = fmt.Sprintf("host-%d-%d", d, i)
			names = append(names, h.Hosts.Self)
			s.hosts = append(s.hosts, h)
		}
		sets[d].Update(names)
		for _, h := range s.hosts[len(s.hosts)-n:] {
			if shared {
				h.Hosts.Update(names)
			}
		}
	}
	for i := range 96 {
		server := simServer{id: fmt.Sprintf("server-%d", i), domain: i % 3, owners: map[string]bool{}}
		for d := range sets {
			for _, name := range sets[d].Owners(server.id) {
				server.owners[name] = shared
			}
		}
		s.index[server.id] = i
		s.servers = append(s.servers, server)
	}
	return s
}

func (s *sim) linked(a, b int) bool { return a == b || !s.cut || a > 0 && b > 0 }

func (s *sim) reaches(h *simHost, i int) bool {
	return !s.dead[s.servers[i].id] && s.linked(h.domain, s.servers[i].domain)
}

func (s *sim) run(d time.Duration, each func(h *simHost)) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		due := s.pending
		s.pending = nil
		for _, m := range due {
			s.deliver(m)
		}
		for _, h := range s.hosts {
			each(h)
			s.tick(h)
		}
	}
}

func (s *sim) tick(h *simHost) {
	for i, until := range h.until {
		if !s.now.Before(until) {
			s.clear(h, i)
		}
	}
	for i, l := range h.loops {
		s.advance(h, i, l)
	}
	if s.now.UnixMilli()%50 == 0 {
		for i := range s.servers {
			s.probeIfDue(h, i)
		}
	}
	if !s.now.Before(h.nextExchange) {
		h.nextExchange = s.now.Add(400 * time.Millisecond)
		s.exchange(h, 1, s.rand.IntN(3)/2)
	}
	if (h.broadcast || h.forward) && s.now.Sub(h.lastBroadcast) >= 50*time.Millisecond {
		local, remote := 6, 1
		if h.broadcast {
			local, remote = 12, 2
		}
		h.broadcast, h.forward, h.lastBroadcast = false, false, s.now
		s.exchange(h, local, remote)
		clear(h.notify)
	}
}

func (s *sim) interval(h *simHost, i int) time.Duration {
	if h.domain == s.servers[i].domain || h.streams[i] || s.servers[i].owners[h.Hosts.Self] {
		return 500 * time.Millisecond
	}
	return 1800 * time.Millisecond
}

func (s *sim) probeIfDue(h *simHost, i int) {
	d := h.Decide(s.servers[i].id, h.streams[i], h.need, s.interval(h, i), s.now)
	if d.Action != owner.Probe || d.After > 0 {
		return
	}
	misses := 0
	if _, suspected := h.until[i]; suspected && !h.streams[i] {
		misses = shortProbes
	}
	s.probe(h, i, misses)
}

func (s *sim) probe(h *simHost, i, misses int) {
	if h.loops[i] == nil {
		h.loops[i] = &simLoop{misses: misses}
	}
}

// fail lets a request of a host fail at a server.
func (s *sim) fail(h *simHost, i int) {
	h.RecordRequest(s.servers[i].id, s.now)
	s.probe(h, i, 0)
}

// advance continues a series of probes.
func (s *sim) advance(h *simHost, i int, l *simLoop) {
	id := s.servers[i].id
	dead := s.dead[id]
	switch {
	case l.end.IsZero():
		if l.delay > 0 {
			d := h.Decide(id, h.streams[i], h.need, l.delay, s.now)
			if d.Action != owner.Probe {
				delete(h.loops, i)
			}
			if d.Action != owner.Probe || d.After > 0 {
				return
			}
		}
		h.CountProbe()
		l.end = s.now.Add(step)
		if !s.reaches(h, i) && !dead {
			l.end = s.now.Add(40 * time.Millisecond)
			if l.misses >= shortProbes {
				l.end = s.now.Add(300 * time.Millisecond)
			}
		}
		return
	case s.now.Before(l.end):
		return
	}
	l.end, l.delay = time.Time{}, 0
	if s.reaches(h, i) {
		h.broadcast = h.RecordAnswered(id, s.now) || h.broadcast
		s.clear(h, i)
		delete(h.loops, i)
		return
	}
	l.misses++
	if l.misses < shortProbes && !dead {
		return
	}
	h.RecordFailed(id, dead, s.now)
	if s.suspect(h, i, s.now.Add(owner.ResultFor)) {
		h.broadcast = true
		for name, shared := range s.servers[i].owners {
			h.notify[name] = shared
		}
	}
	l.delay = s.interval(h, i)
	if l.misses <= shortProbes {
		l.delay = 100 * time.Millisecond
	}
}

// suspect records a suspicion, and reports whether it is a new one.
func (s *sim) suspect(h *simHost, i int, until time.Time) bool {
	old, known := h.until[i]
	if until.After(old) {
		h.until[i] = until
	}
	if !known {
		h.detected[i] = s.now
	}
	return !known
}

func (s *sim) clear(h *simHost, i int) {
	if _, known := h.until[i]; known {
		delete(h.until, i)
		h.cleared[i] = s.now
	}
}

// exchange sends messages to random hosts of this domain and of others, and to those to notify.
func (s *sim) exchange(h *simHost, local, remote int) {
	m := message{from: h, respond: true}
	m.failed, m.answered = h.Results(s.now)
	left := []int{remote, local}
	for _, n := range s.rand.Perm(len(s.hosts)) {
		m.to = s.hosts[n]
		same := 0
		if m.to.domain == h.domain {
			same = 1
		}
		if m.to == h || left[same] == 0 && !h.notify[m.to.Hosts.Self] {
			continue
		}
		s.exchanges++
		left[same] = max(0, left[same]-1)
		if s.linked(h.domain, m.to.domain) {
			s.pending = append(s.pending, m)
		}
	}
}

func (s *sim) deliver(m message) {
	h := m.to
	for _, r := range m.failed {
		i := s.index[r.Server]
		_, suspected := h.until[i]
		switch h.Take(r, owner.Local{Reason: func() bool { return h.streams[i] }, Suspected: suspected}, s.now) {
		case owner.Hint:
			if !suspected {
				s.probeIfDue(h, i)
			}
		case owner.Accepted, owner.Renewed:
			h.forward = s.suspect(h, i, r.At.Add(owner.ResultFor)) || h.forward
		case owner.Ignored:
		}
	}
	for _, r := range m.answered {
		if h.TakeAnswer(r, s.now) == owner.Accepted {
			s.clear(h, s.index[r.Server])
			h.forward = true
		}
	}
	if m.respond {
		back := message{from: h, to: m.from}
		back.failed, back.answered = h.Results(s.now)
		s.pending = append(s.pending, back)
	}
}

// outcome is what a simulation measures.
type outcome struct {
	probes    int64
	exchanges int
	// mean and worst are the times until the hosts that are measured knew.
	mean, worst time.Duration
	// all is the time until all hosts did.
	all time.Duration
	// unaware is the number of hosts and servers that do not fit.
	unaware int
}

func (s *sim) countProbes() (n int64) {
	for _, h := range s.hosts {
		n += h.Stats().Probes
	}
	return n
}

// add adds the time until a host knew.
func (o *outcome) add(took time.Duration, measured bool, of *int) {
	o.all = max(o.all, took)
	if measured {
		o.worst = max(o.worst, took)
		*of++
		o.mean += (took - o.mean) / time.Duration(*of)
	}
}

// crash simulates a crash of three servers. A fifth of the hosts have streams there, which fall
// silent after 50 to 150 ms.
func crash(seed uint64, shared bool) (o outcome) {
	s := newSim(seed, shared)
	start, silentAt := s.now, map[*simHost]time.Time{}
	dead := []int{3, 40, 71}
	for _, i := range dead {
		s.dead[s.servers[i].id] = true
	}
	for n, h := range s.hosts {
		if n%5 == 0 {
			h.streams[dead[n/5%3]] = true
			silentAt[h] = start.Add(time.Duration(5+s.rand.IntN(10)) * step)
		}
	}
	s.run(2*time.Second, func(h *simHost) {
		for i := range h.streams {
			if s.now.Equal(silentAt[h]) {
				s.fail(h, i)
			}
			if s.now.Sub(silentAt[h]) > 300*time.Millisecond {
				delete(h.streams, i)
			}
		}
	})
	o.probes, o.exchanges = s.countProbes(), s.exchanges
	of := 0
	for n, h := range s.hosts {
		for k, i := range dead {
			if h.until[i].IsZero() {
				o.unaware++
			}
			o.add(h.detected[i].Sub(start), n%5 == 0 && n/5%3 == k, &of)
		}
	}
	return o
}

// partition simulates a domain that is cut off for a second while each host sends two requests
// a second. Requests wait at a quarter of the hosts.
func partition(seed uint64, shared bool) (o outcome) {
	s := newSim(seed, shared)
	s.cut = true
	for n, h := range s.hosts {
		h.need = n%4 == 0
	}
	request := func(h *simHost) {
		if i := s.rand.IntN(len(s.servers)); s.rand.IntN(50) == 0 && h.until[i].IsZero() && !s.reaches(h, i) {
			s.fail(h, i)
		}
	}
	s.run(time.Second, request)
	s.cut = false
	healed := s.now
	s.run(2*time.Second, request)
	o.probes, o.exchanges = s.countProbes(), s.exchanges
	of := 0
	for _, h := range s.hosts {
		o.unaware += len(h.until)
		for _, at := range h.cleared {
			if at.After(healed) {
				o.add(at.Sub(healed), h.need, &of)
			}
		}
	}
	return o
}

// Guards against crashes that hosts with requests detect later than by their own probes, against
// servers that hosts use again late after a partition, and against as many probes or more messages
// than before.
func TestSharedProbes(t *testing.T) {
	for name, test := range map[string]struct {
		simulate func(seed uint64, shared bool) outcome
		// fewer is the least factor by which there must be fewer probes, and later how much later
		// the hosts that need not know may do so.
		fewer int64
		later time.Duration
	}{
		"three servers crash": {crash, 3, time.Second},
		"a domain is cut off": {partition, 2, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own, shared := test.simulate(1, false), test.simulate(1, true)
			t.Logf("each for itself %+v; shared %+v", own, shared)
			qt.Check(t, shared.unaware, qt.Equals, 0)
			qt.Check(t, shared.worst <= own.worst, qt.IsTrue)
			qt.Check(t, shared.mean <= own.mean, qt.IsTrue)
			qt.Check(t, shared.all <= own.all+test.later, qt.IsTrue)
			qt.Check(t, shared.probes*test.fewer <= own.probes, qt.IsTrue)
			qt.Check(t, shared.exchanges <= own.exchanges, qt.IsTrue)
		})
	}
}
