package news_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/news"
)

func facts(n int, stamp uint64) []news.Fact {
	list := make([]news.Fact, n)
	for i := range list {
		list[i] = news.Fact{ID: fmt.Sprint(i), Stamp: stamp}
	}
	return list
}

// Guards against messages that grow with the servers, and against facts that are withheld where there
// are few of them.
func TestChoose(t *testing.T) {
	for _, test := range []struct{ facts, messages, chosen, total int }{
		{facts: 0, messages: 20, chosen: 0, total: 0},
		{facts: news.AlwaysTold, messages: 20, chosen: news.AlwaysTold, total: 20 * news.AlwaysTold},
		{facts: news.AlwaysTold + 1, messages: 20, chosen: news.AlwaysTold + 1, total: 6 * (news.AlwaysTold + 1)},
		{facts: 3000, messages: 200, chosen: news.MaxFacts, total: 6 * 3000},
	} {
		q, total := &news.Queue{}, 0
		for i := range test.messages {
			n := len(q.Choose(facts(test.facts, 1)))
			if i == 0 {
				qt.Check(t, n, qt.Equals, test.chosen)
			}
			total += n
		}
		qt.Check(t, total, qt.Equals, test.total, qt.Commentf("%d facts", test.facts))
		if test.facts > 0 {
			qt.Check(t, q.Choose(facts(test.facts, 2)), qt.HasLen, test.chosen, qt.Commentf("%d changed facts", test.facts))
		}
	}
}

// Guards against a fact that was told often, ends and holds again, and counts as told.
func TestEndedFactIsForgotten(t *testing.T) {
	q := &news.Queue{}
	for range 50 {
		q.Choose(facts(news.AlwaysTold+1, 1))
	}
	q.Choose(facts(news.AlwaysTold, 1))
	qt.Check(t, q.Choose(facts(news.AlwaysTold+1, 1)), qt.DeepEquals, []int{news.AlwaysTold})
}

// Guards against facts that do not reach hosts: of hosts that contact random ones, at most one in a
// hundred misses a suspicion.
func TestFactsReachHosts(t *testing.T) {
	const hosts, total, rounds = 100, 150, 20
	random := rand.New(rand.NewPCG(1, 1))
	queues := make([]news.Queue, hosts)
	known := make([]map[int]bool, hosts)
	for i := range known {
		known[i] = map[int]bool{}
	}
	for i := range total {
		known[random.IntN(hosts)][i] = true
	}
	tell := func(from, to int) {
		var list []news.Fact
		var ids []int
		for id := range total {
			if known[from][id] {
				list = append(list, news.Fact{ID: fmt.Sprint(id)})
				ids = append(ids, id)
			}
		}
		for _, i := range queues[from].Choose(list) {
			known[to][ids[i]] = true
		}
	}
	for range rounds {
		for i := range hosts {
			other := random.IntN(hosts)
			tell(i, other)
			tell(other, i)
		}
	}
	missed := 0
	for _, facts := range known {
		missed += total - len(facts)
	}
	qt.Check(t, missed <= hosts*total/100, qt.IsTrue, qt.Commentf("%d of %d", missed, hosts*total))
}
