package mirror_test

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/mirror"
)

func item(name string, revision uint64) mirror.Object {
	return mirror.Object{Name: name, Revision: revision, Spec: []byte(name)}
}

func TestMerge(t *testing.T) {
	m := &mirror.Mirror{Kind: "servers"}
	_, newer := m.Replace([]mirror.Object{item("a", 3), item("b", 5)}, 6)
	qt.Assert(t, newer, qt.IsTrue)
	changed := m.Merge(mirror.Batch{After: 6, Cursor: 9, Items: []mirror.Object{item("c", 7), {Name: "a", Revision: 9, Deleted: true}}})
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, m.Items(), qt.DeepEquals, []mirror.Object{item("b", 5), item("c", 7)})
	qt.Assert(t, m.Cursor(), qt.Equals, uint64(9))
}

// Another entry host tells late what it saw long ago. A server that left since
// then would come back, and get requests that nobody answers.
func TestOldNewsIsNotTaken(t *testing.T) {
	m := &mirror.Mirror{}
	m.Replace([]mirror.Object{item("b", 5)}, 10)
	qt.Assert(t, m.Merge(mirror.Batch{After: 3, Cursor: 8, Items: []mirror.Object{item("a", 4)}}), qt.IsFalse)
	qt.Assert(t, m.Merge(mirror.Batch{After: 3, Cursor: 12, Items: []mirror.Object{item("a", 4), item("b", 11)}}), qt.IsTrue)
	qt.Assert(t, m.Items(), qt.DeepEquals, []mirror.Object{item("b", 11)})
	_, newer := m.Replace([]mirror.Object{item("a", 4)}, 9)
	qt.Assert(t, newer, qt.IsFalse)
}

// Changes arrive that begin after what is known. Taking them over would pass
// over those between: a server's draining, for example, would never be seen.
func TestGapIsNotTaken(t *testing.T) {
	m := &mirror.Mirror{}
	m.Replace(nil, 10)
	qt.Assert(t, m.Merge(mirror.Batch{After: 11, Cursor: 12, Items: []mirror.Object{item("a", 12)}}), qt.IsFalse)
	qt.Assert(t, m.Cursor(), qt.Equals, uint64(10))
}

// Two entry hosts that tell each other in any order, late and twice, end with
// what the object API holds. One that did not would serve by a configuration
// that nobody else has.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := &mirror.Mirror{Kind: "k"}
		truth.Replace(nil, 1)
		peers := []*mirror.Mirror{{Kind: "k"}, {Kind: "k"}, {Kind: "k"}}
		revision := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				change := item(name, revision)
				change.Deleted = rapid.Bool().Draw(t, "deleted")
				truth.Merge(mirror.Batch{After: revision - 1, Cursor: revision, Items: []mirror.Object{change}})
			case 2:
				take(peers[rapid.IntRange(0, 2).Draw(t, "peer")], truth)
			case 3:
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				take(peers[to], peers[from])
			}
		}
		take(peers[0], truth)
		take(peers[1], peers[0])
		take(peers[2], peers[1])
		for _, p := range peers {
			if p.Cursor() != truth.Cursor() {
				t.Fatalf("cursor %d, not %d", p.Cursor(), truth.Cursor())
			}
			if !reflect.DeepEqual(p.Items(), truth.Items()) {
				t.Fatalf("%v, not %v", p.Items(), truth.Items())
			}
		}
	})
}

func take(to, from *mirror.Mirror) {
	b, whole := from.Since(to.Cursor())
	if whole {
		to.Replace(b.Items, b.Cursor)
		return
	}
	to.Merge(b)
}
