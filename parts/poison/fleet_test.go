package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/poison"
)

// fleet simulates entry hosts that exchange evidence while requests with thousands of parts come.
type fleet struct {
	random *rand.Rand
	hosts  []*poison.Detector
	now    time.Time
	// changed holds the hosts that have something to tell at once.
	changed map[int]bool
	servers int
	// crashes are those under the bad part, and largest is the largest number of causes in a
	// message.
	crashes []time.Time
	largest int
}

// Figures of the simulation.
const (
	fleetStep       = 100 * time.Millisecond
	fleetRound      = 4
	fleetPerStep    = 30
	fleetPeers      = 14
	fleetParts      = 3000
	fleetVictims    = 20
	fleetDuration   = 15 * time.Second
	unrelatedChance = 0.05
)

func newFleet(hosts int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, changed: map[int]bool{}}
	for i := range hosts {
		d := newDetector()
		d.OnChange = func() { f.changed[i] = true }
		f.hosts = append(f.hosts, d)
	}
	return f
}

// soundRequest returns the causes of a request without the bad part. Few parts are common, most are
// rare.
func (f *fleet) soundRequest() []poison.Cause {
	part := int(float64(fleetParts) * f.random.Float64() * f.random.Float64() * f.random.Float64())
	return prompt(fmt.Sprint(f.random.Uint64()), "all", fmt.Sprintf("part%d", part))
}

// crash crashes a server under requests of random hosts.
func (f *fleet) crash(requests ...[]poison.Cause) {
	f.servers++
	for range fleetVictims {
		requests = append(requests, f.soundRequest())
	}
	for _, causes := range requests {
		d := f.hosts[f.random.IntN(len(f.hosts))]
		d.RecordCrash(fmt.Sprint("i-", f.servers), []poison.Victim{{Causes: causes}}, f.now, f.now)
	}
}

// exchange lets a host exchange evidence with another one.
func (f *fleet) exchange(from, to int) {
	for _, pair := range [][2]int{{from, to}, {to, from}} {
		e := f.hosts[pair[0]].Evidence(f.now)
		causes := 0
		for _, c := range e.Crashes {
			causes += len(c.Causes)
		}
		f.largest = max(f.largest, causes)
		if f.hosts[pair[1]].Merge(e, fmt.Sprint(pair[0]), f.now) {
			f.changed[pair[1]] = true
		}
	}
}

// step simulates fleetStep. A request with the bad part comes with the given probability.
func (f *fleet) step(n int, badChance float64) {
	f.now = f.now.Add(fleetStep)
	for range fleetPerStep {
		causes := f.soundRequest()
		f.hosts[f.random.IntN(len(f.hosts))].RecordAnswer(causes, fmt.Sprint(f.random.Uint64()), f.now)
	}
	if f.random.Float64() < unrelatedChance {
		f.crash()
	}
	if f.random.Float64() < badChance {
		causes := prompt(fmt.Sprint(f.random.Uint64()), "all", "bad", fmt.Sprintf("part%d", f.random.IntN(fleetParts)))
		if cause, _ := f.hosts[f.random.IntN(len(f.hosts))].Blocked(causes, f.now); cause == "" {
			f.crashes = append(f.crashes, f.now)
			f.crash(causes)
		}
	}
	told := f.changed
	f.changed = map[int]bool{}
	for i := range f.hosts {
		switch {
		case told[i]:
			for range fleetPeers {
				f.exchange(i, f.random.IntN(len(f.hosts)))
			}
		case (n+i)%fleetRound == 0:
			f.exchange(i, f.random.IntN(len(f.hosts)))
		}
		f.hosts[i].Sweep(f.now)
	}
}

// Guards against evidence that does not reach all entry hosts in time, and against blocking sound
// parts while servers crash for other reasons, with 300 hosts and thousands of parts.
func TestFleet(t *testing.T) {
	for _, hosts := range []int{4, 25, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			f := newFleet(hosts, uint64(hosts))
			for n := range int(fleetDuration / fleetStep) {
				f.step(n, 0.2)
			}
			late := 0
			for _, at := range f.crashes {
				if len(f.crashes) >= 5 && at.After(f.crashes[4].Add(3*time.Second)) {
					late++
				}
			}
			t.Logf("%d servers crashed under the bad part, %d late, %d causes in the largest message", len(f.crashes), late, f.largest)
			qt.Check(t, late <= 3, qt.IsTrue)
			for i, d := range f.hosts {
				_, n := d.Counts()
				qt.Check(t, n, qt.Equals, 1, qt.Commentf("host %d", i))
				cause, _ := d.Blocked(prompt("new", "all", "bad"), f.now)
				qt.Check(t, cause, qt.Equals, poison.Cause("part bad"))
			}
		})
	}
}

// BenchmarkMerge measures the merge of a message with the evidence of crashes of the last seconds.
func BenchmarkMerge(b *testing.B) {
	f := newFleet(2, 1)
	for n := range 30 {
		f.step(n, 0.2)
		f.crash()
	}
	e := f.hosts[0].Evidence(f.now)
	for b.Loop() {
		d := newDetector()
		d.Merge(e, "a", f.now)
	}
}
