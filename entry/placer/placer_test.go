package placer_test

import (
	"context"
	"errors"
	"log/slog"
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

// town decodes servers and a configuration that a test made.
type town map[string]fleet.Server

func (tn town) Table([]byte) (*route.Table, error) {
	return &route.Table{Version: 1, Services: map[string]route.Service{"assist": {Name: "assist", Engine: &route.Engine{
		Layers: 12, LayerMB: 1000, TokenBytes: 1, Step: time.Millisecond, PrefillPerSec: 1000, MeanPrompt: 10, MeanAnswer: 5,
		Accelerators: map[string]route.Accelerator{"card": {MemoryMB: 9000, StepFactor: 1, PrefillFactor: 1}},
	}}}}, nil
}

func (tn town) Server(id string, _ []byte) (fleet.Server, error) {
	return tn[id], nil
}

// engines takes all orders and tells the test of them.
type engines struct {
	town
	placed chan [2]int
}

func (e engines) Report(_ context.Context, address string) (call.Report, error) {
	return call.Report{First: e.town[address].First, End: e.town[address].End}, nil
}

func (e engines) Place(_ context.Context, _ *fleet.Server, first, end int, _ uint64) (call.OrderResult, error) {
	e.placed <- [2]int{first, end}
	return call.OrderStarted, nil
}

func (e engines) Reroute(context.Context, string, router.Chain) (call.OrderResult, string, error) {
	return call.OrderRejected, "", errors.New("no streams in this test")
}

// A server dies that alone held some layers of its failure domain. Until another
// holds them, every request of the domain is refused or waits; it would be
// decided only at the next of the regular looks. The test has none of these.
func TestDeathIsDecidedOnAtOnce(t *testing.T) {
	servers := town{}
	var items []mirror.Object
	for i, id := range []string{"one", "two", "three"} {
		servers[id] = fleet.Server{ID: id, Service: "assist", Address: id, Domain: "a", Accelerator: "card", First: 4 * i, End: 4*i + 4, StartedAt: time.Unix(1, 0)}
		items = append(items, mirror.Object{Name: id, Revision: 1})
	}
	config, known := &mirror.Mirror{Kind: "config"}, &mirror.Mirror{Kind: "servers"}
	config.Replace([]mirror.Object{{Name: "main", Revision: 1}}, 1)
	known.Replace(items, 1)
	log := slog.New(slog.DiscardHandler)
	state := &state.Local{Decoder: servers, Log: log, LocalDomain: "a", Config: config, Servers: known}
	state.ReadConfig("main")
	state.ReadServers(time.Now())
	e := engines{servers, make(chan [2]int, 16)}
	p := &placer.Placer{
		State: state, Engine: e, Ledger: &router.LoadTracker{}, Broadcast: func() {}, IsLeader: func() bool { return true }, Log: log, Interval: time.Hour,
	}
	ctx, end := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	state.Suspect("two", time.Now().Add(time.Hour), time.Now())
	held := map[int]bool{}
	for len(held) < 4 {
		order := <-e.placed
		for l := max(order[0], 4); l < min(order[1], 8); l++ {
			held[l] = true
		}
	}
	qt.Check(t, held, qt.HasLen, 4)
	end()
	<-done
}
