package router_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/router"
	_ "fuchsiashelf.dev/parts/seed"
)

// Guards against an attempt every 200 ms on a server that refuses all requests, such
// as one that is leaving while the object API is unavailable.
func TestBackoffDoublesWhileServerRefuses(t *testing.T) {
	var l router.LoadTracker
	now := time.Unix(1_000_000, 0)
	attempts := 0
	for range 1000 {
		l.Sweep(now)
		if !l.Used("a").Full {
			attempts++
			l.RecordRefusal("a", now)
		}
		// Requests sent before the refusal was known do not lengthen the backoff.
		l.RecordRefusal("a", now)
		now = now.Add(10 * time.Millisecond)
	}
	qt.Check(t, attempts <= 10, qt.IsTrue, qt.Commentf("%d attempts in 10 s", attempts))
	qt.Check(t, attempts >= 8, qt.IsTrue, qt.Commentf("%d attempts in 10 s", attempts))
}

// Guards against a server that stays unused after it was saturated for a moment.
func TestAcceptedRequestEndsBackoff(t *testing.T) {
	var l router.LoadTracker
	now := time.Unix(1_000_000, 0)
	chain := router.Chain{{Server: server("a", "d", "small", 0, 80), First: 0, End: 80}}
	for range 3 {
		l.RecordRefusal("a", now)
		qt.Check(t, l.Used("a").Full, qt.IsTrue)
		now = now.Add(250 * time.Millisecond)
		l.Sweep(now)
		qt.Check(t, l.Used("a").Full, qt.IsFalse)
		l.RecordAccepted(chain)
	}
}

// Guards against refusals at each entry host in turn by the same saturated server, and
// against entry hosts that keep a refusal alive by sending it back and forth.
func TestRemoteRefusalsCount(t *testing.T) {
	var one, other router.LoadTracker
	now := time.Unix(1_000_000, 0)
	qt.Check(t, one.RecordRefusal("a", now), qt.IsTrue)
	qt.Check(t, one.RecordRefusal("a", now), qt.IsFalse)
	for range 100 {
		for id, remaining := range one.Saturated(now) {
			other.RecordRemoteRefusal(id, remaining, now)
		}
		for id, remaining := range other.Saturated(now) {
			one.RecordRemoteRefusal(id, remaining, now)
		}
		qt.Check(t, other.Used("a").Full, qt.Equals, one.Used("a").Full)
		now = now.Add(10 * time.Millisecond)
		one.Sweep(now)
		other.Sweep(now)
	}
	qt.Check(t, one.Used("a").Full, qt.IsFalse)
	qt.Check(t, other.Used("a").Full, qt.IsFalse)
}

// Guards against a refusal that never expires because the transit times of messages
// add up.
func TestRefusalsExpireDespiteTransitTimes(t *testing.T) {
	var one, other router.LoadTracker
	now := time.Unix(1_000_000, 0)
	one.RecordRefusal("a", now)
	for range 40 {
		for _, pair := range [][2]*router.LoadTracker{{&one, &other}, {&other, &one}} {
			list := pair[0].Saturated(now)
			now = now.Add(20 * time.Millisecond)
			for id, remaining := range list {
				pair[1].RecordRemoteRefusal(id, remaining, now)
			}
		}
		one.Sweep(now)
		other.Sweep(now)
	}
	qt.Check(t, one.Used("a").Full, qt.IsFalse)
	qt.Check(t, other.Used("a").Full, qt.IsFalse)
}

// Guards against capacity that is never released, or reserved twice, because the
// running total differs from the sum over entry hosts.
func TestTotalIsSumOverEntryHosts(t *testing.T) {
	servers := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var l router.LoadTracker
		remote := map[string]map[string]router.Usage{}
		local := map[string]router.Usage{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := rapid.SampledFrom(servers).Draw(t, "server")
			tokens := rapid.IntRange(1, 3000).Draw(t, "tokens")
			if rapid.Bool().Draw(t, "own") {
				l.Reserve(router.Chain{{Server: server(id, "d", "small", 0, 80), First: 0, End: 80}}, tokens)
				u := local[id]
				local[id] = router.Usage{TokenLayers: u.TokenLayers + float64(80*tokens), Requests: u.Requests + 1, Starts: u.Starts + 1}
				continue
			}
			host := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "host"))
			remote[host] = nil
			if rapid.Bool().Draw(t, "stays") {
				remote[host] = map[string]router.Usage{id: {TokenLayers: float64(tokens), Requests: 2, Starts: 1}}
			}
			l.SetRemote(host, remote[host])
		}
		for _, id := range servers {
			want := local[id]
			for _, used := range remote {
				want.TokenLayers += used[id].TokenLayers
				want.Requests += used[id].Requests
				want.Starts += used[id].Starts
			}
			if got := l.Used(id); got != want {
				t.Fatalf("%s: %+v, want %+v", id, got, want)
			}
		}
	})
}

// Measures reading one server's load with 300 entry hosts: 142 ns with the running
// total, 19,600 ns when summing over entry hosts.
func BenchmarkUsed(b *testing.B) {
	var l router.LoadTracker
	for host := range 300 {
		used := map[string]router.Usage{}
		for i := range 100 {
			used[fmt.Sprint((host+i)%1000)] = router.Usage{TokenLayers: 1, Requests: 1}
		}
		l.SetRemote(fmt.Sprint(host), used)
	}
	for b.Loop() {
		l.Used("7")
	}
}
