package router_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/router"
)

// allowedTransfers returns how many transfers may begin within a second if one is
// requested every millisecond.
func allowedTransfers(transfer time.Duration, hosts int) int {
	start := time.Unix(1_000_000, 0)
	budget := &router.LinkBudget{}
	n := 0
	for ms := range 1000 {
		if budget.Reserve(transfer, 100*time.Millisecond, hosts, start.Add(time.Duration(ms)*time.Millisecond)) {
			n++
		}
	}
	return n
}

// Guards against saturating the link between failure domains when the only holder of
// some layers in a domain fails with sixty responses in progress: if all were rerouted
// through another domain at once, each would wait for the prompts of all others. Entry
// hosts do not know each other's transfers, so each must use only its part of the
// link.
func TestEntryHostsShareTheLink(t *testing.T) {
	transfer := router.TransferTime(engine(), 900)
	qt.Assert(t, transfer.Round(time.Millisecond), qt.Equals, 19*time.Millisecond)
	for _, hosts := range []int{1, 4, 32} {
		n := allowedTransfers(transfer, hosts)
		reserved := time.Duration(n*hosts) * transfer
		qt.Check(t, n > 0, qt.IsTrue)
		// The sum of the transfers of one second, those that may wait, and one for
		// each entry host that begins within the limit and ends after it.
		qt.Check(t, reserved <= time.Second+100*time.Millisecond+time.Duration(hosts)*transfer, qt.IsTrue, qt.Commentf("%d hosts: %d each", hosts, n))
	}
}

// Guards against a chain that waits for a saturated link between failure domains
// while another domain could serve the request alone.
func TestAvoidsSaturatedLink(t *testing.T) {
	q := query(
		server("a1", "a", "small", 0, 30), server("a2", "a", "small", 40, 80),
		server("b1", "b", "small", 30, 40),
	)
	q.SingleDomain = true
	qt.Assert(t, q.Pick(), qt.IsNil)
	q.Servers = append(q.Servers, server("c1", domain.Name("c"), "small", 0, 80))
	qt.Assert(t, q.Pick().String(), qt.Equals, "c1=0-80")
}
