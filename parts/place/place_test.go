package place_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
	"fuchsiashelf.dev/parts/route"
)

func engine() *route.Engine {
	return &route.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 590_000, Load: 14 * time.Second, Step: 850 * time.Microsecond, PrefillPerSec: 196_000,
		MeanPrompt: 772, MeanAnswer: 174,
		Accelerators: map[string]route.Accelerator{
			"h100": {MemoryMB: 72_000, StepFactor: 1.4, PrefillFactor: 1}, "a100s": {MemoryMB: 36_000, StepFactor: 3.1, PrefillFactor: 3.2},
			"l4": {MemoryMB: 21_600, StepFactor: 16, PrefillFactor: 8.2}, "t4": {MemoryMB: 14_400, StepFactor: 15, PrefillFactor: 15},
		},
	}
}

// calm and stir are moments in which servers are the same for a while, and not.
// No server is idle in either.
var (
	calm = times(true, func(string) bool { return false })
	stir = times(false, func(string) bool { return false })
)

func times(calm bool, idle func(id string) bool) place.Conditions {
	return place.Conditions{
		Stable:      func(domain.Name) bool { return calm },
		Idle:        idle,
		Reserved:    func(string) float64 { return 0 },
		JustStarted: func(string) bool { return false },
	}
}

// today is the fleet of a deployment of today: three domains, each of which can
// hold the model.
func today() []*fleet.Server {
	var list []*fleet.Server
	add := func(in domain.Name, card string, n int) {
		for i := range n {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%s-%d", in, card, i), Domain: in, Accelerator: card})
		}
	}
	add("a", "h100", 1)
	add("a", "a100s", 1)
	add("a", "l4", 5)
	add("a", "t4", 7)
	add("b", "a100s", 1)
	add("b", "l4", 8)
	add("b", "t4", 3)
	add("c", "a100s", 2)
	add("c", "l4", 4)
	add("c", "t4", 7)
	return list
}

// carry carries out orders.
func carry(orders []place.Assignment) {
	for _, o := range orders {
		o.Server.First, o.Server.End = o.First, o.End
	}
}

// covered reports whether the sound servers of a domain hold all layers.
func covered(list []*fleet.Server, in domain.Name) bool {
	held := make([]bool, 80)
	for _, s := range list {
		if s.Domain != in || s.Leaving || s.Suspected {
			continue
		}
		for l := s.First; l < s.End; l++ {
			held[l] = true
		}
	}
	for _, h := range held {
		if !h {
			return false
		}
	}
	return true
}

func find(list []*fleet.Server, id string) *fleet.Server {
	for _, s := range list {
		if s.ID == id {
			return s
		}
	}
	return nil
}

func TestEachDomainHoldsAll(t *testing.T) {
	list := today()
	orders := place.Plan(engine(), list, calm)
	qt.Assert(t, orders, qt.HasLen, len(list))
	carry(orders)
	for _, in := range []domain.Name{"a", "b", "c"} {
		qt.Check(t, covered(list, in), qt.IsTrue, qt.Commentf("domain %s", in))
	}
	// Nothing is left to do: what servers hold stays.
	qt.Assert(t, place.Plan(engine(), list, calm), qt.HasLen, 0)
}

// A server dies, and nobody else in its domain holds its layers. Every request
// of the domain would have to cross to another one until the server is back.
// Its neighbours take the layers over and give nothing up, so they need not
// wait for requests that pass through them.
func TestNeighboursCloseGap(t *testing.T) {
	for _, dead := range today() {
		list := today()
		carry(place.Plan(engine(), list, calm))
		held := map[string][2]int{}
		for _, s := range list {
			held[s.ID] = [2]int{s.First, s.End}
		}
		find(list, dead.ID).Suspected = true
		orders := place.Plan(engine(), list, stir)
		for _, o := range orders {
			was := held[o.Server.ID]
			if o.First > was[0] || o.End < was[1] {
				t.Logf("%s dead: %s gives up layers: %v to %d-%d", dead.ID, o.Server.ID, was, o.First, o.End)
			}
		}
		carry(orders)
		qt.Check(t, covered(list, dead.Domain), qt.IsTrue, qt.Commentf("%s dead", dead.ID))
	}
}

// A partition makes most servers of a domain look dead to the entry host that
// places. Orders to the rest would tear apart what works on the other side.
func TestNoOrdersInCutOffDomain(t *testing.T) {
	list := today()
	carry(place.Plan(engine(), list, calm))
	n := 0
	for _, s := range list {
		if s.Domain == "b" && n < 6 {
			s.Suspected = true
			n++
		}
	}
	qt.Assert(t, place.Plan(engine(), list, stir), qt.HasLen, 0)
}

// A server with many layers dies, and small ones hold second copies that no
// request uses. Its neighbours would be left with room for a third of the
// requests if they took its layers over; the idle ones take them at once.
func TestIdleServersCloseGap(t *testing.T) {
	list := today()
	carry(place.Plan(engine(), list, calm))
	find(list, "a-a100s-0").Suspected = true
	orders := place.Plan(engine(), list, times(false, func(id string) bool { return strings.HasPrefix(id, "a-t4") }))
	for _, o := range orders {
		qt.Check(t, strings.HasPrefix(o.Server.ID, "a-t4"), qt.IsTrue, qt.Commentf("%s: %d to %d", o.Server.ID, o.First, o.End))
	}
	carry(orders)
	qt.Assert(t, covered(list, "a"), qt.IsTrue)
}

// The neighbours of a dead server hold its layers beside their own and have
// little room for requests. Once a new server holds the layers they give them
// up again, but not while it is unclear who lives.
func TestNeighboursGiveUpInCalm(t *testing.T) {
	list := today()
	carry(place.Plan(engine(), list, calm))
	dead := find(list, "b-l4-3")
	dead.Suspected = true
	carry(place.Plan(engine(), list, stir))
	back := &fleet.Server{ID: "new", Domain: "b", Accelerator: "l4"}
	list = append(list, back)
	dead.Leaving = true
	orders := place.Plan(engine(), list, stir)
	qt.Assert(t, orders, qt.HasLen, 1)
	qt.Assert(t, orders[0].Server, qt.Equals, back)
	carry(orders)
	for range 5 {
		carry(place.Plan(engine(), list, calm))
	}
	qt.Assert(t, covered(list, "b"), qt.IsTrue)
	qt.Assert(t, place.Plan(engine(), list, calm), qt.HasLen, 0)
}

// The servers of a service are replaced one by one. The new one, which came a
// second before the old one left, was busy loading second copies then, and the
// domain lacked up to twelve layers for four seconds each time: callers were
// refused, and streams were cut, on a day on which nothing failed.
func TestNewServerTakesOverFromTheOneThatLeaves(t *testing.T) {
	for _, card := range []string{"l4", "a100s", "t4"} {
		list := today()
		carry(place.Plan(engine(), list, calm))
		old := find(list, "b-"+card+"-0")
		next := &fleet.Server{ID: "new", Domain: "b", Accelerator: card}
		list = append(list, next)
		now := calm
		now.JustStarted = func(id string) bool { return id == "new" }
		qt.Assert(t, place.Plan(engine(), list, now), qt.HasLen, 0)
		old.Leaving = true
		orders := place.Plan(engine(), list, now)
		qt.Assert(t, orders, qt.HasLen, 1, qt.Commentf("%s", card))
		qt.Assert(t, orders[0].Server, qt.Equals, next)
		carry(orders)
		qt.Check(t, covered(list, "b"), qt.IsTrue)
	}
}

// A server comes to a domain that has just lost one and has little room left.
// Nothing is to be waited for.
func TestNewServerRelievesACrowdedDomain(t *testing.T) {
	list := today()
	carry(place.Plan(engine(), list, calm))
	find(list, "b-a100s-0").Leaving = true
	carry(place.Plan(engine(), list, stir))
	list = append(list, &fleet.Server{ID: "new", Domain: "b", Accelerator: "l4"})
	now := stir
	now.JustStarted = func(id string) bool { return id == "new" }
	qt.Assert(t, place.Plan(engine(), list, now), qt.HasLen, 1)
}

// A large server took layers over and has little room left, while small ones
// hold second copies that nobody uses. It would refuse requests to the end of
// the day; the idle ones relieve it, and it gives the layers up.
func TestIdleServersRelieve(t *testing.T) {
	list := today()
	carry(place.Plan(engine(), list, calm))
	find(list, "a-a100s-0").Leaving = true
	big := find(list, "a-h100-0")
	big.First, big.End = 0, 37
	idle := times(true, func(id string) bool { return strings.HasPrefix(id, "a-t4") })
	for range 5 {
		carry(place.Plan(engine(), list, idle))
	}
	qt.Assert(t, covered(list, "a"), qt.IsTrue)
	qt.Assert(t, big.LayerCount() <= 25, qt.IsTrue, qt.Commentf("%d layers", big.LayerCount()))
}

// A domain has too little memory for the whole model. Alone it would serve
// nobody, so it shares a copy with another small one.
func TestSmallDomainsShare(t *testing.T) {
	list := []*fleet.Server{
		{ID: "a", Domain: "a", Accelerator: "h100"}, {ID: "b", Domain: "b", Accelerator: "h100"}, {ID: "c", Domain: "c", Accelerator: "h100"},
	}
	carry(place.Plan(engine(), list, calm))
	held := make([]int, 80)
	for _, s := range list {
		for l := s.First; l < s.End; l++ {
			held[l]++
		}
	}
	for l, n := range held {
		qt.Check(t, n > 0, qt.IsTrue, qt.Commentf("layer %d", l))
	}
}

// No order ever asks a server to hold more than its memory: the engine would
// crash, with every request on it. And deciding comes to rest: servers that
// were ordered about for ever would never serve.
func TestOrdersFitAndSettle(t *testing.T) {
	e := engine()
	rapid.Check(t, func(t *rapid.T) {
		list := today()
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(0, 3).Draw(t, "faults") {
				s := list[rapid.IntRange(0, len(list)-1).Draw(t, "which")]
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					s.Suspected = !s.Suspected
				case 1:
					s.First, s.End = 0, 0
				case 2:
					s.Leaving = true
				case 3:
					list = append(list, &fleet.Server{ID: fmt.Sprintf("new-%d", len(list)), Domain: s.Domain, Accelerator: s.Accelerator})
				}
			}
			orders := place.Plan(e, list, times(rapid.Bool().Draw(t, "calm"), func(string) bool { return rapid.Bool().Draw(t, "idle") }))
			for _, o := range orders {
				if o.First < 0 || o.End > e.Layers || o.First >= o.End {
					t.Fatalf("%s: %d to %d", o.Server.ID, o.First, o.End)
				}
				if float64(o.End-o.First)*e.LayerMB > e.Accelerators[o.Server.Accelerator].MemoryMB {
					t.Fatalf("%s: %d layers do not fit", o.Server.ID, o.End-o.First)
				}
				if o.Server.Leaving || o.Server.Suspected {
					t.Fatalf("%s is not sound", o.Server.ID)
				}
			}
			carry(orders)
		}
		for range 20 {
			orders := place.Plan(e, list, calm)
			if len(orders) == 0 {
				return
			}
			carry(orders)
		}
		t.Fatal("deciding does not come to rest")
	})
}

// classrooms is an engine whose small cards are three times as fast as its
// larger ones, beside a few that are large and fast.
func classrooms() *route.Engine {
	return &route.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 590_000, Load: 14 * time.Second, Step: 1020 * time.Microsecond, PrefillPerSec: 164_000,
		MeanPrompt: 772, MeanAnswer: 230,
		Accelerators: map[string]route.Accelerator{
			"a100": {MemoryMB: 72_000, StepFactor: 2.4, PrefillFactor: 3.2}, "v100": {MemoryMB: 14_400, StepFactor: 5.3, PrefillFactor: 7.9},
			"l4": {MemoryMB: 21_600, StepFactor: 16, PrefillFactor: 8.2},
		},
	}
}

// A domain's slow cards are larger than its fast ones. When the larger got
// layers first, half of each answer's way went through the slow ones: events came
// 90 ms apart where 40 are possible, twice as many answers were under way when
// something failed, and the longest hardly ever came through.
func TestFastCardsHoldLayersFirst(t *testing.T) {
	e := classrooms()
	for _, cards := range []map[string]int{
		{"a100": 1, "v100": 6, "l4": 6}, {"a100": 1, "v100": 10, "l4": 4}, {"a100": 2, "v100": 4, "l4": 4},
	} {
		var list []*fleet.Server
		fastest := 0
		for card, n := range cards {
			for i := range n {
				list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%02d", card, i), Domain: "a", Accelerator: card})
			}
		}
		carry(place.Plan(e, list, calm))
		for l := range e.Layers {
			pace := math.Inf(1)
			for _, s := range list {
				if l >= s.First && l < s.End {
					pace = min(pace, e.Accelerators[s.Accelerator].StepFactor)
				}
			}
			if pace < e.Accelerators["l4"].StepFactor {
				fastest++
			}
		}
		// What the fast cards hold if they leave room for twice the requests that
		// a domain has on an ordinary evening, 75.
		want := 0
		for card, n := range cards {
			if card != "l4" {
				each := e.LayerMB + 150*1002*e.TokenBytes/float64(e.Layers)/1e6
				want += n * int(e.Accelerators[card].MemoryMB/each)
			}
		}
		qt.Check(t, fastest >= min(want, e.Layers), qt.IsTrue, qt.Commentf("%v: %d layers, %d possible", cards, fastest, want))
	}
}

// Where all cards are about as slow, little is won by giving some of them more
// layers, and the room that it costs is missed when a server dies: half of the
// requests found none.
func TestSlowCardsKeepTheirRoom(t *testing.T) {
	list := today()
	settle(t, list, calm)
	for _, in := range []domain.Name{"a", "b", "c"} {
		qt.Check(t, capacity(list, in) >= 110, qt.IsTrue, qt.Commentf("%s: room for %.0f requests", in, capacity(list, in)))
	}
}

// Most servers hold layers that nobody else holds, and whichever of those dies
// takes all answers of its domain along. Second copies that are spread over parts
// of many servers' layers save none of them.
func TestSecondCopiesCoverWholeServers(t *testing.T) {
	e := classrooms()
	var list []*fleet.Server
	for card, n := range map[string]int{"a100": 2, "v100": 4, "l4": 4} {
		for i := range n {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%02d", card, i), Domain: "a", Accelerator: card})
		}
	}
	carry(place.Plan(e, list, calm))
	qt.Assert(t, covered(list, "a"), qt.IsTrue)
	harmless := 0
	for _, dead := range list {
		dead.Suspected = true
		if covered(list, "a") {
			harmless++
		}
		dead.Suspected = false
	}
	// The four slow ones are spares, and hold enough for each of the four small.
	qt.Assert(t, harmless >= 8, qt.IsTrue, qt.Commentf("%d of %d deaths leave all layers held", harmless, len(list)))
}

// A large domain holds each layer several times over. Its fastest way has room for
// a part of the requests only; when room was given up to make that one faster, all
// others had less of it, and after some losses a fifth of the requests was refused.
func TestLargeDomainsKeepTheirRoom(t *testing.T) {
	e := engine()
	var list []*fleet.Server
	for card, n := range map[string]int{"h100": 1, "a100s": 2, "l4": 13, "t4": 18} {
		for i := range n {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%02d", card, i), Domain: "a", Accelerator: card})
		}
	}
	carry(place.Plan(e, list, calm))
	for _, s := range list {
		free := (e.Accelerators[s.Accelerator].MemoryMB - float64(s.LayerCount())*e.LayerMB) * 1e6 * float64(e.Layers) / e.TokenBytes / float64(s.LayerCount())
		qt.Check(t, free >= 159*usualTokens, qt.IsTrue, qt.Commentf("%s: room for %.0f requests", s.ID, free/usualTokens))
	}
}
