package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/reach"
	"fuchsiashelf.dev/parts/roster"
)

const (
	domains      = 5
	step         = 100 * time.Millisecond
	localSteps   = 4
	remoteSteps  = 12
	timeoutSteps = 5
	// transit is how much younger ages seem because of the time that a message takes.
	transit = 50 * time.Millisecond
)

// host is an entry host of a simulated fleet.
type host struct {
	self  roster.Member
	table *roster.Table
	down  bool
	phase int
	bytes int
}

// fleet simulates the exchanges between entry hosts without a network.
type fleet struct {
	hosts     map[string]*host
	list      []*host
	random    *rand.Rand
	reachable func(a, b *host) bool
	// later holds what happens after a number of steps.
	later map[int][]func()
	// failure is the number of steps after which a contact fails.
	failure int
	now     int
	boot    int64
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{hosts: map[string]*host{}, random: rand.New(rand.NewPCG(seed, 1)), later: map[int][]func(){}, failure: timeoutSteps, reachable: func(_, _ *host) bool { return true }}
	for i := range n {
		name := fmt.Sprintf("entry-%04d", i)
		h := &host{self: roster.Member{Name: name, Address: name, Domain: domain.Name(fmt.Sprint(i % domains)), Store: true, Settled: true}, phase: f.random.IntN(remoteSteps)}
		f.hosts[name] = h
		f.list = append(f.list, h)
		f.start(h)
	}
	return f
}

// start starts the process of a host, which knows no others.
func (f *fleet) start(h *host) {
	f.boot++
	h.down, h.self.Boot, h.self.Seq = false, f.boot, 0
	h.table = &roster.Table{Self: h.self.Name, Domain: h.self.Domain, Boot: f.boot, Random: f.random.IntN}
}

// introduce makes a host known to another one, which hands out its whole list.
func (f *fleet) introduce(h, seed *host) {
	now := time.Now()
	h.table.MergeWhole(seed.table.Whole(now), now)
	f.exchange(h, seed)
}

func (f *fleet) up(a, b *host) bool { return !a.down && !b.down && f.reachable(a, b) }

// exchange lets two hosts exchange messages.
func (f *fleet) exchange(a, b *host) {
	now := time.Now()
	toB, _ := a.table.Sample(false, now)
	f.deliver(b, a, toB)
	toA, _ := b.table.Sample(false, now)
	f.deliver(a, b, toA)
	a.table.Compare(b.table.Current(now).Digest, now)
	b.table.Compare(a.table.Current(now).Digest, now)
	if a.table.TakeWhole(now) {
		whole := b.table.Whole(now)
		a.table.MergeWhole(whole, now)
		a.bytes += memberBytes * len(whole)
		b.bytes += memberBytes * len(whole)
	}
}

// memberBytes is about the encoded size of a member in a compressed message.
const memberBytes = 45

func (f *fleet) deliver(to, from *host, members []roster.Member) {
	from.self.Seq++
	// Hosts with few requests have mostly not connected to a server lately.
	from.self.Reach = reach.State(from.self.Seq / 16 % 2)
	to.table.Merge(from.self, time.Now())
	for _, m := range members {
		m.Age, m.Suspected = max(1, m.Age-transit), max(min(1, m.Suspected), m.Suspected-transit)
		to.table.Merge(m, time.Now())
	}
	beats := from.table.Beats(time.Now())
	for i := range beats {
		beats[i].Age -= transit
	}
	to.table.MergeBeats(beats, time.Now())
	to.bytes += memberBytes * (1 + len(members))
	from.bytes += memberBytes * (1 + len(members))
}

// contact lets a host exchange messages with the one at an address, and check it if that fails.
func (f *fleet) contact(a *host, address string) {
	b := f.hosts[address]
	if f.up(a, b) {
		f.exchange(a, b)
		return
	}
	failed, boot := time.Now(), a.self.Boot
	f.after(f.failure, func() {
		if a.down || a.self.Boot != boot {
			return
		}
		checkers, check := a.table.BeginCheck(address, time.Now())
		if !check {
			return
		}
		f.after(f.failure, func() {
			for _, c := range checkers {
				if checker := f.hosts[c]; f.up(a, checker) && f.up(checker, b) {
					f.exchange(checker, b)
					f.exchange(a, checker)
					m, _ := checker.table.State(b.self.Name, time.Now())
					a.table.Merge(m, time.Now())
				}
			}
			if a.self.Boot == boot {
				a.table.EndCheck(address, failed)
			}
		})
	})
}

func (f *fleet) after(steps int, do func()) { f.later[f.now+steps] = append(f.later[f.now+steps], do) }

// run simulates the exchanges of some time.
func (f *fleet) run(d time.Duration) {
	for range int(d / step) {
		for _, do := range f.later[f.now] {
			do()
		}
		delete(f.later, f.now)
		for _, h := range f.list {
			if !h.down {
				f.round(h)
			}
		}
		f.now++
		time.Sleep(step)
	}
}

func (f *fleet) round(h *host) {
	at := f.now + h.phase
	if at%10 == 0 {
		h.table.Sweep(time.Now())
	}
	if at%localSteps != 0 {
		return
	}
	remote := 0
	if at%remoteSteps == 0 {
		remote = 1
	}
	for _, a := range h.table.Partners(1, remote, time.Now()) {
		f.contact(h, a)
	}
}

// counts returns the least and the greatest number of hosts that a running host of the given ones counts
// as present, itself included, and the sum of 1 / count.
func (f *fleet) counts(which func(h *host) bool) (least, greatest int, shares float64) {
	least = len(f.list)
	for _, h := range f.list {
		if h.down || !which(h) {
			continue
		}
		n := 1 + len(h.table.Current(time.Now()).Present)
		least, greatest = min(least, n), max(greatest, n)
		shares += 1 / float64(n)
	}
	return least, greatest, shares
}

func all(*host) bool { return true }

// converged returns a fleet whose hosts have known each other for a while.
func converged(n int, seed uint64) *fleet {
	f := newFleet(n, seed)
	for i, h := range f.list {
		f.introduce(h, f.list[0])
		if i > 0 {
			f.introduce(f.list[0], h)
		}
	}
	for _, h := range f.list {
		f.introduce(h, f.list[0])
	}
	f.run(4 * time.Second)
	return f
}

// Guards against hosts that count as absent, or are removed, because a message lists only some of
// hundreds: what is divided by their number would be handed out many times over.
func TestHostsAtRestArePresent(t *testing.T) {
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := converged(n, 1)
			for range 3 {
				f.run(2 * time.Second)
				least, greatest, _ := f.counts(all)
				qt.Assert(t, []int{least, greatest}, qt.DeepEquals, []int{n, n})
			}
		})
	}
}

// Guards against a dead host that counts as present, or a live one that counts as absent, while a
// tenth of all hosts is dead, and after its return.
func TestTenthDiesAndReturns(t *testing.T) {
	for _, n := range sizes[1:] {
		synctest.Test(t, func(t *testing.T) {
			f := converged(n, 2)
			// The kernel refuses connections to a process that was killed.
			f.failure = 1
			killed := 0
			for i, h := range f.list {
				if i%10 == 3 {
					h.down = true
					killed++
				}
			}
			f.run(5 * time.Second)
			least, greatest, _ := f.counts(all)
			t.Logf("%d hosts, %d dead: %d to %d present", n, killed, least, greatest)
			qt.Check(t, greatest, qt.Equals, n-killed)
			qt.Check(t, least >= (n-killed)*9/10, qt.IsTrue, qt.Commentf("%d", least))
			for _, h := range f.list {
				if h.down {
					f.start(h)
					f.introduce(h, f.list[f.random.IntN(2)])
				}
			}
			f.run(5 * time.Second)
			least, greatest, shares := f.counts(all)
			t.Logf("back: %d to %d present, shares %.2f", least, greatest, shares)
			qt.Check(t, least >= n*9/10, qt.IsTrue, qt.Commentf("%d", least))
			qt.Check(t, greatest, qt.Equals, n)
			qt.Check(t, shares <= 1.2, qt.IsTrue, qt.Commentf("%.2f", shares))
		})
	}
}

// Guards against hosts of a failure domain that is cut off that still count on the other side, and against
// suspicions from the cut that make live hosts absent after it.
func TestDomainIsCutOff(t *testing.T) {
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := converged(n, 3)
			cut := func(h *host) bool { return h.self.Domain == "1" }
			inside := 0
			for _, h := range f.list {
				if cut(h) {
					inside++
				}
			}
			f.reachable = func(a, b *host) bool { return cut(a) == cut(b) }
			f.run(5 * time.Second)
			least, greatest, _ := f.counts(cut)
			qt.Check(t, []int{least, greatest}, qt.DeepEquals, []int{inside, inside}, qt.Commentf("inside, %d hosts", n))
			least, greatest, _ = f.counts(func(h *host) bool { return !cut(h) })
			qt.Check(t, []int{least, greatest}, qt.DeepEquals, []int{n - inside, n - inside}, qt.Commentf("outside, %d hosts", n))
			f.reachable = func(_, _ *host) bool { return true }
			f.run(5 * time.Second)
			least, greatest, _ = f.counts(all)
			t.Logf("%d hosts, after the cut: %d to %d present", n, least, greatest)
			qt.Check(t, least >= n*9/10, qt.IsTrue, qt.Commentf("%d of %d", least, n))
		})
	}
}

// Guards against hosts that know few others for long after all were started at once, and against a
// membership whose messages grow with the fleet.
func TestAllStartAtOnce(t *testing.T) {
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(n, 4)
			seeds := f.list[:min(n, 3)]
			for _, h := range f.list {
				for _, s := range seeds {
					if s != h {
						f.exchange(h, s)
					}
				}
			}
			f.run(5 * time.Second)
			least, _, shares := f.counts(all)
			t.Logf("%d hosts, 5 s after a start: at least %d known, shares %.2f", n, least, shares)
			qt.Check(t, shares <= 1.2, qt.IsTrue, qt.Commentf("%.2f", shares))
		})
	}
}

// Guards against a membership whose messages grow with the fleet.
func TestBytesAtRest(t *testing.T) {
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := converged(n, 5)
			f.run(4 * time.Second)
			for _, h := range f.list {
				h.bytes = 0
			}
			f.run(2 * time.Second)
			busiest := 0
			for _, h := range f.list {
				busiest = max(busiest, h.bytes/2)
			}
			t.Logf("%d hosts: at most %d bytes a second", n, busiest)
		})
	}
}
