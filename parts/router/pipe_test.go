package router_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/router"
)

// crossed returns how many transfers may begin within a second, if one is asked
// for each millisecond.
func crossed(transfer time.Duration, hosts int) int {
	start := time.Unix(1_000_000, 0)
	p := &router.LinkBudget{}
	n := 0
	for ms := range 1000 {
		if p.Reserve(transfer, 100*time.Millisecond, hosts, start.Add(time.Duration(ms)*time.Millisecond)) {
			n++
		}
	}
	return n
}

// The only holder of some layers in a domain dies under sixty answers. Led
// through another domain all at once, each would wait until the prompts of all
// others have crossed; and with many entry hosts, each of which knows of its
// own only, the link would be taken many times over.
func TestEntryHostsShareTheLink(t *testing.T) {
	transfer := router.TransferTime(engine(), 900)
	qt.Assert(t, transfer.Round(time.Millisecond), qt.Equals, 19*time.Millisecond)
	for _, hosts := range []int{1, 4, 32} {
		n := crossed(transfer, hosts)
		taken := time.Duration(n*hosts) * transfer
		qt.Check(t, n > 0, qt.IsTrue)
		// Within the second, what may wait, and the one that goes beyond it.
		qt.Check(t, taken <= time.Second+100*time.Millisecond+time.Duration(hosts)*transfer, qt.IsTrue, qt.Commentf("%d hosts: %d each", hosts, n))
	}
}

// The link between domains is taken. A chain that crosses would wait for it,
// while another domain could serve the request alone.
func TestNoCrossingOnATakenLink(t *testing.T) {
	q := query(
		server("a1", "a", "small", 0, 30), server("a2", "a", "small", 40, 80),
		server("b1", "b", "small", 30, 40),
	)
	q.SingleDomain = true
	qt.Assert(t, q.Pick(), qt.IsNil)
	q.Servers = append(q.Servers, server("c1", domain.Name("c"), "small", 0, 80))
	qt.Assert(t, q.Pick().String(), qt.Equals, "c1=0-80")
}
