package mirror_test

import (
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/mirror"
	_ "fuchsiashelf.dev/parts/seed"
)

func object(name string, revision uint64) mirror.Object {
	return mirror.Object{Name: name, Revision: revision, Spec: []byte(name)}
}

// at returns a position in the first era.
func at(revision uint64) mirror.Position {
	return mirror.Position{Revision: revision}
}

func TestMerge(t *testing.T) {
	m := &mirror.Mirror{Kind: "servers"}
	_, newer := m.Replace([]mirror.Object{object("a", 3), object("b", 5)}, at(6))
	qt.Assert(t, newer, qt.IsTrue)
	changed := m.Merge(mirror.Batch{After: 6, Cursor: 9, Items: []mirror.Object{object("c", 7), {Name: "a", Revision: 9, Deleted: true}}})
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, m.Items(), qt.DeepEquals, []mirror.Object{object("b", 5), object("c", 7)})
	qt.Assert(t, m.Cursor(), qt.Equals, at(9))
}

// Guards against requests to a server that has left: another entry host sends
// late what it saw before the server left.
func TestStaleChangesAreIgnored(t *testing.T) {
	m := &mirror.Mirror{}
	m.Replace([]mirror.Object{object("b", 5)}, at(10))
	qt.Assert(t, m.Merge(mirror.Batch{After: 3, Cursor: 8, Items: []mirror.Object{object("a", 4)}}), qt.IsFalse)
	qt.Assert(t, m.Merge(mirror.Batch{After: 3, Cursor: 12, Items: []mirror.Object{object("a", 4), object("b", 11)}}), qt.IsTrue)
	qt.Assert(t, m.Items(), qt.DeepEquals, []mirror.Object{object("b", 11)})
	_, newer := m.Replace([]mirror.Object{object("a", 4)}, at(9))
	qt.Assert(t, newer, qt.IsFalse)
}

// Guards against missed changes, such as a server that starts to drain: merging
// a batch that begins after the cursor would skip the changes in between.
func TestBatchWithGapIsIgnored(t *testing.T) {
	m := &mirror.Mirror{}
	m.Replace(nil, at(10))
	qt.Assert(t, m.Merge(mirror.Batch{After: 11, Cursor: 12, Items: []mirror.Object{object("a", 12)}}), qt.IsFalse)
	qt.Assert(t, m.Cursor(), qt.Equals, at(10))
}

// Guards against changes that are ignored, or mixed with others, after a restore of the
// object API has given their revisions out again.
func TestErasAreNotMixed(t *testing.T) {
	m := &mirror.Mirror{Kind: "servers"}
	m.Replace([]mirror.Object{object("a", 5), object("b", 9)}, mirror.Position{Era: 1, Revision: 10})
	qt.Assert(t, m.Merge(mirror.Batch{Era: 2, After: 10, Cursor: 12, Items: []mirror.Object{object("c", 12)}}), qt.IsFalse)
	dropped, newer := m.Replace([]mirror.Object{object("a", 5)}, mirror.Position{Era: 2, Revision: 6})
	qt.Assert(t, newer, qt.IsTrue)
	qt.Assert(t, dropped, qt.DeepEquals, []string{"b"})
	qt.Assert(t, m.Merge(mirror.Batch{Era: 2, After: 6, Cursor: 7, Items: []mirror.Object{object("a", 7)}}), qt.IsTrue)
	// Another entry host is still in the older era.
	qt.Assert(t, m.Merge(mirror.Batch{Era: 1, After: 6, Cursor: 12, Items: []mirror.Object{object("d", 12)}}), qt.IsFalse)
	_, newer = m.Replace([]mirror.Object{object("d", 12)}, mirror.Position{Era: 1, Revision: 12})
	qt.Assert(t, newer, qt.IsFalse)
	qt.Assert(t, m.Items(), qt.DeepEquals, []mirror.Object{object("a", 7)})
	b, complete := m.Since(mirror.Position{Era: 1, Revision: 12})
	qt.Assert(t, complete, qt.IsTrue)
	qt.Assert(t, b.Position(), qt.Equals, mirror.Position{Era: 2, Revision: 7})
	qt.Assert(t, b.Items, qt.HasLen, 1)
}

// Guards against entry hosts that serve with different configurations. They
// exchange changes late, repeatedly and out of order, and all of them must end
// with the state of the object API.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := &mirror.Mirror{Kind: "k"}
		source.Replace(nil, at(1))
		peers := []*mirror.Mirror{{Kind: "k"}, {Kind: "k"}, {Kind: "k"}}
		revision, era := uint64(1), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				revision++
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				change := object(name, revision)
				change.Deleted = rapid.Bool().Draw(t, "deleted")
				source.Merge(mirror.Batch{Era: era, After: revision - 1, Cursor: revision, Items: []mirror.Object{change}})
			case 4:
				// The object API is restored from a copy.
				era++
				revision -= rapid.Uint64Range(0, revision-1).Draw(t, "lost")
				copied := slices.DeleteFunc(source.Items(), func(o mirror.Object) bool { return o.Revision > revision })
				source.Replace(copied, mirror.Position{Era: era, Revision: revision})
			case 2:
				sync(peers[rapid.IntRange(0, 2).Draw(t, "peer")], source)
			case 3:
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				sync(peers[to], peers[from])
			}
		}
		sync(peers[0], source)
		sync(peers[1], peers[0])
		sync(peers[2], peers[1])
		for _, p := range peers {
			if p.Cursor() != source.Cursor() {
				t.Fatalf("cursor = %v, want %v", p.Cursor(), source.Cursor())
			}
			if !reflect.DeepEqual(p.Items(), source.Items()) {
				t.Fatalf("items = %v, want %v", p.Items(), source.Items())
			}
		}
	})
}

func sync(to, from *mirror.Mirror) {
	b, complete := from.Since(to.Cursor())
	if complete {
		to.Replace(b.Items, b.Position())
		return
	}
	to.Merge(b)
}
