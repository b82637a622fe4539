package chain

import (
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/host"
	_ "fuchsiashelf.dev/parts/seed"
)

func servers(ranges ...[2]int) []host.Host {
	var all []host.Host
	for i, r := range ranges {
		all = append(all, host.Host{Name: string(rune('a' + i)), First: r[0], End: r[1]})
	}
	return all
}

// Guards against requests that start on a chain which cannot be completed, because the
// servers of a pool were listed with wrong ranges or the only holder of some layers is
// gone. The error names the missing layers for operators and callers.
func TestErrorNamesMissingLayers(t *testing.T) {
	for _, test := range []struct {
		name   string
		ranges [][2]int
		want   string
	}{
		{"none", nil, "0 to 24"},
		{"start", [][2]int{{4, 24}}, "0 to 4"},
		{"middle", [][2]int{{0, 8}, {8, 12}, {16, 24}}, "12 to 16"},
		{"end", [][2]int{{0, 20}}, "20 to 24"},
		{"several", [][2]int{{2, 8}, {10, 12}}, "0 to 2 and 8 to 10 and 12 to 24"},
		{"beside an overlap", [][2]int{{0, 16}, {8, 16}, {20, 24}}, "16 to 20"},
		{"beyond the model", [][2]int{{0, 8}, {30, 40}}, "8 to 24"},
		{"reversed range", [][2]int{{0, 8}, {24, 8}}, "8 to 24"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := New(24, servers(test.ranges...))
			quicktest.Assert(t, err, quicktest.ErrorMatches, "no-cover: no server covers layers "+test.want)
		})
	}
}

func TestOverlapsAreUsed(t *testing.T) {
	c := quicktest.New(t)
	g, err := New(24, servers([2]int{0, 16}, [2]int{8, 24}, [2]int{4, 20}))
	c.Assert(err, quicktest.IsNil)
	c.Assert(g.Hops, quicktest.DeepEquals, [][]Hop{
		{{Server: 0, First: 0, End: 16, Next: 1}},
		{{Server: 1, First: 16, End: 24, Next: Last}, {Server: 2, First: 16, End: 20, Next: 2}},
		{{Server: 1, First: 20, End: 24, Next: Last}},
	})
}

// walk follows hops from layer 0, choosing each by the given function, and returns
// the layers in the order in which they run.
func walk(g *Graph, choose func(n int) int) []int {
	var layers []int
	for at := 0; at != Last; {
		h := g.Hops[at][choose(len(g.Hops[at]))]
		for layer := h.First; layer < h.End; layer++ {
			layers = append(layers, layer)
		}
		at = h.Next
	}
	return layers
}

// Guards against chains that skip or repeat layers, or run them on a server that does
// not hold them: either the pool is rejected because a layer has no holder, or every
// path runs each layer once and in order.
func TestEveryPathIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 16).Draw(t, "layers")
		ranges := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [2]int {
			return [2]int{rapid.IntRange(-1, 16).Draw(t, "first"), rapid.IntRange(0, 18).Draw(t, "end")}
		}), 0, 8).Draw(t, "ranges")
		held := 0
		for layer := range layers {
			for _, r := range ranges {
				if r[0] >= 0 && r[0] <= layer && layer < r[1] {
					held++
					break
				}
			}
		}
		g, err := New(layers, servers(ranges...))
		if (err == nil) != (held == layers) {
			t.Fatalf("%d of %d layers held, got error: %v", held, layers, err)
		}
		if err != nil {
			return
		}
		order := walk(g, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for i, layer := range order {
			if i != layer {
				t.Fatalf("layers ran as %v", order)
			}
		}
		if len(order) != layers {
			t.Fatalf("ran %d of %d layers", len(order), layers)
		}
	})
}
