package placer_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/placer"
	"fuchsiashelf.dev/entry/room"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/place"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/share"
)

// order is an order that a server got.
type order struct {
	id         string
	first, end int
	at         time.Duration
}

// roomTest is a placer with two failure domains, whose last layers have many more holders
// than the first ones. Its servers report what they were ordered to hold.
type roomTest struct {
	fakeDecoder
	state  *state.Local
	shares *share.Tracker
	placer *placer.Placer
	// leads and storeUp are what the placer is told, and refuse makes servers refuse orders.
	leads, storeUp, refuse atomic.Bool
	// demand is the demand of domain a as a share of its capacity.
	demand float64

	mu      sync.Mutex
	start   time.Time
	revised uint64
	orders  []order
}

func newRoomTest() *roomTest {
	r := &roomTest{fakeDecoder: fakeDecoder{}, demand: 2, start: time.Now()}
	r.leads.Store(true)
	r.storeUp.Store(true)
	for _, d := range []domain.Name{"a", "b"} {
		for i := range 12 {
			first := 6 * min(1, i/2)
			r.add(fleet.Server{ID: fmt.Sprintf("%s%02d", d, i), Domain: d, First: first, End: first + 6})
		}
	}
	log := slog.New(slog.DiscardHandler)
	configMirror := &mirror.Mirror{Kind: "config"}
	configMirror.Replace([]mirror.Object{{Name: "main", Revision: 1}}, mirror.Position{Revision: 1})
	r.state = &state.Local{Decoder: r.fakeDecoder, Log: log, LocalDomain: "a", Config: configMirror, Servers: &mirror.Mirror{Kind: "servers"}, ProbeExpired: func(string) {}}
	r.state.ReadConfig("main")
	r.publish()
	r.shares = &share.Tracker{Self: "0", Domain: "b", Log: log, Alive: func() map[domain.Name]int { return map[domain.Name]int{"a": 1, "b": 1} }}
	r.placer = &placer.Placer{
		State: r.state, Engine: r, Load: &router.LoadTracker{}, Broadcast: func() {}, IsLeader: r.leads.Load, Log: log,
		Shares: r.shares, Room: &room.Watch{State: r.state, Shares: r.shares, Log: log}, StoreUp: r.storeUp.Load,
	}
	return r
}

func (r *roomTest) add(s fleet.Server) {
	s.Service, s.Address, s.Accelerator, s.StartedAt = "assist", s.ID, "card", time.Unix(1, 0)
	r.fakeDecoder[s.ID] = s
}

// remove removes the servers whose IDs have one of the prefixes.
func (r *roomTest) remove(prefixes ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, prefix := range prefixes {
		maps.DeleteFunc(r.fakeDecoder, func(id string, _ fleet.Server) bool { return strings.HasPrefix(id, prefix) })
	}
	r.publish()
}

// publish makes the entries of the servers known.
func (r *roomTest) publish() {
	r.revised++
	var items []mirror.Object
	for id := range r.fakeDecoder {
		items = append(items, mirror.Object{Name: id, Revision: r.revised})
	}
	r.state.Servers.Replace(items, mirror.Position{Revision: r.revised})
	r.state.ReadServers(time.Now())
}

func (r *roomTest) Report(_ context.Context, address string) (call.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return call.Report{First: r.fakeDecoder[address].First, End: r.fakeDecoder[address].End}, nil
}

func (r *roomTest) Place(_ context.Context, s *fleet.Server, first, end int, _ uint64) (call.OrderResult, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, order{s.ID, first, end, time.Since(r.start)})
	if r.refuse.Load() {
		return call.OrderRejected, nil
	}
	changed := r.fakeDecoder[s.ID]
	changed.First, changed.End = first, end
	r.fakeDecoder[s.ID] = changed
	return call.OrderStarted, nil
}

func (r *roomTest) Reroute(context.Context, string, router.Chain) (call.OrderResult, string, error) {
	return call.OrderRejected, "", nil
}

// run runs the placer for some seconds, with a heartbeat of the servers each second. It calls
// each with the number of the second.
func (r *roomTest) run(t *testing.T, seconds int, each func(second int)) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.placer.Run(ctx)
	}()
	table := r.state.Table().Services["assist"]
	capacity := place.Standalone(table.Engine, r.state.View().Service("assist"))["a"]
	for second := range seconds {
		each(second)
		for range 10 {
			r.shares.MergeRates("a1", "a", []share.Rate{{Service: "assist", Served: r.demand * capacity}}, time.Now())
			r.shares.Sweep(time.Now())
			r.placer.Room.Sweep(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		r.mu.Lock()
		r.publish()
		r.mu.Unlock()
	}
	cancel()
	<-done
}

// Guards against moves for capacity where the failures that the specification lists forbid
// them, and against none where nothing does.
func TestMovesForRoom(t *testing.T) {
	for name, test := range map[string]struct {
		each func(r *roomTest, second int)
		// from is the first second with orders; zero means that there are none at all.
		from int
	}{
		"demand exceeds capacity":          {func(*roomTest, int) {}, 3},
		"demand within capacity":           {func(r *roomTest, _ int) { r.demand = 0.5 }, 0},
		"no other domain":                  {func(r *roomTest, _ int) { r.remove("b") }, 0},
		"not the leader":                   {func(r *roomTest, _ int) { r.leads.Store(false) }, 0},
		"next leader":                      {func(r *roomTest, second int) { r.leads.Store(second >= 10) }, 13},
		"object API does not respond":      {func(r *roomTest, second int) { r.storeUp.Store(second >= 12) }, 12},
		"server drains":                    {func(r *roomTest, _ int) { r.state.RecordLeaving("b11", time.Unix(1, 0), time.Now()) }, 0},
		"layers with a single holder":      {func(r *roomTest, _ int) { r.remove("b01", "b03", "b04", "b05", "b06", "b07", "b08", "b09", "b1") }, 0},
		"orders are refused":               {func(r *roomTest, _ int) { r.refuse.Store(true) }, 3},
		"demand rises and falls each wave": {func(r *roomTest, second int) { r.demand = 0.2 + 2*float64(second/8%2) }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRoomTest()
				r.run(t, 30, func(second int) { test.each(r, second) })
				checkRates(t, r.orders)
				for _, o := range r.orders {
					qt.Check(t, test.from > 0 && o.at >= time.Duration(test.from)*time.Second, qt.IsTrue, qt.Commentf("%v", o))
				}
				begun := len(r.orders)
				qt.Check(t, begun > 0, qt.Equals, test.from > 0)
				if r.refuse.Load() {
					begun = 0
				}
				qt.Check(t, r.placer.RoomMoves(), qt.Equals, int64(begun))
			})
		})
	}
}

// checkRates checks that a failure domain gets at most one order in 2 s, and a server one in
// 10 s.
func checkRates(t *testing.T, orders []order) {
	last := map[string]time.Duration{}
	for _, o := range orders {
		for key, interval := range map[string]time.Duration{o.id: 10 * time.Second, o.id[:1]: 2 * time.Second} {
			at, known := last[key]
			qt.Check(t, known && o.at-at < interval-time.Millisecond, qt.IsFalse, qt.Commentf("%v, the last one at %v", o, at))
			last[key] = o.at
		}
	}
}

// Guards against waiting for the end of a server that has announced that it leaves: the other
// servers must take its layers over at once.
func TestLeavingServerCountsAsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoomTest()
		r.demand = 0
		r.remove("a01")
		r.run(t, 10, func(second int) {
			if second == 5 {
				r.state.RecordLeaving("a00", time.Unix(1, 0), time.Now())
			}
		})
		qt.Assert(t, len(r.orders) > 0, qt.IsTrue)
		for _, o := range r.orders[:1] {
			qt.Check(t, o.id[0] == 'a' && o.first < 6 && o.at < 5500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", r.orders))
		}
	})
}
