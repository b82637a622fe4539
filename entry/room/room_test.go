package room_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/room"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/place"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/share"
)

// fakeDecoder holds the servers of a test by ID, and returns a fixed configuration.
type fakeDecoder map[string]fleet.Server

func engine() *route.Engine {
	return &route.Engine{
		Layers: 12, LayerMB: 1000, TokenBytes: 590_000, Step: time.Millisecond, PrefillPerSec: 1000, MeanPromptTokens: 10, MeanResponseTokens: 5,
		Accelerators: map[string]route.Accelerator{"card": {MemoryMB: 9000, StepFactor: 1, PrefillFactor: 1}},
	}
}

func (d fakeDecoder) Table([]byte) (*route.Table, error) {
	return &route.Table{Version: 1, Services: map[string]route.Service{"assist": {Name: "assist", Engine: engine()}}}, nil
}

func (d fakeDecoder) Server(id string, _ []byte) (fleet.Server, error) { return d[id], nil }

// newState returns the state of an entry host that knows two servers in each failure domain,
// which hold the given number of layers each.
func newState(domains []domain.Name, layers int) (*state.Local, []*fleet.Server) {
	servers, configMirror, serverMirror := fakeDecoder{}, &mirror.Mirror{Kind: "config"}, &mirror.Mirror{Kind: "servers"}
	var items []mirror.Object
	for _, d := range domains {
		for i, id := range []string{string(d) + "1", string(d) + "2"} {
			servers[id] = fleet.Server{ID: id, Service: "assist", Address: id, Domain: d, Accelerator: "card", First: 6 * i, End: 6*i + layers, StartedAt: time.Unix(1, 0)}
			items = append(items, mirror.Object{Name: id, Revision: 1})
		}
	}
	configMirror.Replace([]mirror.Object{{Name: "main", Revision: 1}}, mirror.Position{Revision: 1})
	serverMirror.Replace(items, mirror.Position{Revision: 1})
	s := &state.Local{Decoder: servers, Log: slog.New(slog.DiscardHandler), LocalDomain: "a", Config: configMirror, Servers: serverMirror}
	s.ReadConfig("main")
	s.ReadServers(time.Now())
	return s, s.View().Service("assist")
}

// Guards against moves and prices where there is no other domain to go to, where no domain
// lacks anything, or where a domain cannot serve on its own whatever its demand.
func TestShort(t *testing.T) {
	for name, test := range map[string]struct {
		domains []domain.Name
		layers  int
		// demands are the demands of domain a over time, as a share of its capacity.
		demands []float64
		want    []bool
	}{
		"exceeds, then hysteresis": {[]domain.Name{"a", "b"}, 6, []float64{0.8, 1.1, 0.95, 0.8}, []bool{false, true, true, false}},
		"single domain":            {[]domain.Name{"a"}, 6, []float64{2}, []bool{false}},
		"layers missing elsewhere": {[]domain.Name{"a", "b"}, 5, []float64{2}, []bool{false}},
	} {
		t.Run(name, func(t *testing.T) {
			s, servers := newState(test.domains, test.layers)
			capacity := place.Standalone(engine(), servers)["a"]
			shares := &share.Tracker{Self: "0", Domain: "b", Log: slog.New(slog.DiscardHandler), Alive: func() map[domain.Name]int { return map[domain.Name]int{"a": 1, "b": 1} }}
			var out bytes.Buffer
			w := &room.Watch{State: s, Shares: shares, Load: &router.LoadTracker{}, Log: slog.New(slog.NewTextHandler(&out, nil))}
			now := time.Unix(1000, 0)
			var got []bool
			for _, demand := range test.demands {
				for range 300 {
					now = now.Add(100 * time.Millisecond)
					shares.MergeRates("a1", "a", []share.Rate{{Service: "assist", Served: demand * max(capacity, 1)}}, now)
					shares.Sweep(now)
					w.Sweep(now)
				}
				got = append(got, w.Short("assist"))
				utilization := map[domain.Name]float64(nil)
				if w.Short("assist") {
					utilization = map[domain.Name]float64{"a": 0, "b": 0}
				}
				qt.Check(t, w.Utilization("assist"), qt.DeepEquals, utilization)
				qt.Check(t, w.Shortfall() > 0, qt.Equals, w.Short("assist") && demand > 1)
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
			lines := 0
			if len(test.want) > 1 {
				lines = 2
			}
			qt.Check(t, strings.Count(out.String(), "\n"), qt.Equals, lines, qt.Commentf("%s", out.String()))
		})
	}
}
