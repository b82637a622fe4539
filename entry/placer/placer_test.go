package placer_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/placer"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// fakeDecoder holds the servers of a test by ID, and returns a fixed configuration.
type fakeDecoder map[string]fleet.Server

func (d fakeDecoder) Table([]byte) (*route.Table, error) {
	return &route.Table{Version: 1, Services: map[string]route.Service{"assist": {Name: "assist", Engine: &route.Engine{
		Layers: 12, LayerMB: 1000, TokenBytes: 1, Step: time.Millisecond, PrefillPerSec: 1000, MeanPromptTokens: 10, MeanResponseTokens: 5,
		Accelerators: map[string]route.Accelerator{"card": {MemoryMB: 9000, StepFactor: 1, PrefillFactor: 1}},
	}}}}, nil
}

func (d fakeDecoder) Server(id string, _ []byte) (fleet.Server, error) {
	return d[id], nil
}

// fakeEngines reports what the servers hold, accepts every order to hold layers, and
// sends the range of each to placed.
type fakeEngines struct {
	fakeDecoder
	placed chan [2]int
}

func (e fakeEngines) Report(_ context.Context, address string) (call.Report, error) {
	return call.Report{First: e.fakeDecoder[address].First, End: e.fakeDecoder[address].End}, nil
}

func (e fakeEngines) Place(_ context.Context, _ *fleet.Server, first, end int, _ uint64) (call.OrderResult, error) {
	e.placed <- [2]int{first, end}
	return call.OrderStarted, nil
}

func (e fakeEngines) Reroute(context.Context, string, router.Chain) (call.OrderResult, string, error) {
	return call.OrderRejected, "", errors.New("no streams in this test")
}

// newPlacer returns the placer of a failure domain of three servers, each of which holds a
// third of the layers.
func newPlacer() (*placer.Placer, fakeEngines) {
	servers := fakeDecoder{}
	var items []mirror.Object
	for i, id := range []string{"one", "two", "three"} {
		servers[id] = fleet.Server{ID: id, Service: "assist", Address: id, Domain: "a", Accelerator: "card", First: 4 * i, End: 4*i + 4, StartedAt: time.Unix(1, 0)}
		items = append(items, mirror.Object{Name: id, Revision: 1})
	}
	configMirror, serverMirror := &mirror.Mirror{Kind: "config"}, &mirror.Mirror{Kind: "servers"}
	configMirror.Replace([]mirror.Object{{Name: "main", Revision: 1}}, mirror.Position{Revision: 1})
	serverMirror.Replace(items, mirror.Position{Revision: 1})
	log := slog.New(slog.DiscardHandler)
	state := &state.Local{Decoder: servers, Log: log, LocalDomain: "a", Config: configMirror, Servers: serverMirror}
	state.ReadConfig("main")
	state.ReadServers(time.Now())
	engines := fakeEngines{servers, make(chan [2]int, 16)}
	return &placer.Placer{
		State: state, Engine: engines, Load: &router.LoadTracker{}, Broadcast: func() {}, IsLeader: func() bool { return true }, Log: log, Interval: time.Hour,
	}, engines
}

// Guards against a delayed placement after the failure of the only server of a
// failure domain that holds some layers: every request of the domain is refused or
// waits until another server holds them. The regular decisions are disabled, so that
// only the failure can trigger one.
func TestServerFailureTriggersPlacement(t *testing.T) {
	p, engines := newPlacer()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	p.State.Suspect("two", time.Now().Add(time.Hour), time.Now())
	held := map[int]bool{}
	for len(held) < 4 {
		assigned := <-engines.placed
		for layer := max(assigned[0], 4); layer < min(assigned[1], 8); layer++ {
			held[layer] = true
		}
	}
	qt.Check(t, held, qt.HasLen, 4)
	cancel()
	<-done
}

// Guards against loads for a silence that ends sooner, and against a delay of those for a
// server that is lost: at once, within a silence, or after one, which is no return. Each step
// is of the form MILLISECONDS EVENT ORDERED.
func TestSilenceDelaysPlacement(t *testing.T) {
	for _, steps := range []string{
		"0 lost true",
		"0 silence false, 1000 silence false, 1200 answer false",
		"0 silence false, 1000 silence false, 1500 silence true",
		"0 silence false, 100 lost true",
		"0 silence false, 1000 answer false, 1100 lost true",
		"0 silence false, 1000 answer false, 1100 silence false, 2500 silence false",
	} {
		p, _ := newPlacer()
		start := time.Now()
		qt.Assert(t, p.Decide(t.Context(), start), qt.Equals, 0)
		for step := range strings.SplitSeq(steps, ", ") {
			var at int
			var event string
			var ordered bool
			fmt.Sscan(step, &at, &event, &ordered)
			now := start.Add(time.Duration(at) * time.Millisecond)
			switch event {
			case "silence":
				p.State.SuspectSilent("two", now.Add(state.SuspectFor), now)
			case "lost":
				p.State.Suspect("two", now.Add(state.SuspectFor), now)
			case "answer":
				p.State.ClearSuspicion("two", now)
			}
			qt.Check(t, p.Decide(t.Context(), now) > 0, qt.Equals, ordered, qt.Commentf("%s: %s", steps, step))
		}
	}
}
