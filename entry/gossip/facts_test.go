package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/news"
)

// Guards against messages that repeat thousands of assignments and suspicions after a start of a fleet or the loss
// of a failure domain, and against a new host that does not get all of them.
func TestMessagesDoNotGrowWithServers(t *testing.T) {
	for _, servers := range []int{40, 400, 2843} {
		p := newPeer(1)
		p.Suspects = func() (list []Suspect) {
			for i := range servers {
				list = append(list, Suspect{ID: fmt.Sprint(i), Left: time.Second})
			}
			return list
		}
		p.Assignments = func() (list []Assignment) {
			for i := range servers {
				list = append(list, Assignment{ID: fmt.Sprint(i), First: 3, End: 20, Left: time.Second, Done: true})
			}
			return list
		}
		established := &Message{From: Member{Name: "entry-002", Settled: true}}
		total, size := 0, 0
		for range 100 {
			m := p.message(established)
			total += len(m.Orders) + len(m.Suspects)
			b, err := codec{}.Marshal(m)
			qt.Assert(t, err, qt.IsNil)
			size = max(size, len(b))
		}
		t.Logf("%d servers: %d facts in 100 messages, at most %d bytes", servers, total, size)
		m := p.message(&Message{From: Member{Name: "entry-003"}})
		qt.Check(t, []int{len(m.Orders), len(m.Suspects)}, qt.DeepEquals, []int{servers, servers})
		m = p.message(established)
		if servers <= news.AlwaysTold {
			qt.Check(t, []int{len(m.Orders), len(m.Suspects)}, qt.DeepEquals, []int{servers, servers})
			continue
		}
		qt.Check(t, total <= 12*servers, qt.IsTrue, qt.Commentf("%d facts", total))
		qt.Check(t, size <= 16<<10, qt.IsTrue, qt.Commentf("%d bytes", size))
	}
}
