package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

const (
	// usualRequests of the usual size is the most that is kept free for requests
	// beside each server's layers.
	usualRequests = 160
	// severalCopies is how many copies of the layers are several.
	severalCopies = 2
	// roomSteps is how finely the room for requests is chosen.
	roomSteps = 50
	// hopTime is what a further server adds to the way of a token: the link, and
	// the wait for the step under way there.
	hopTime = 200 * time.Microsecond
)

// card is one kind of accelerator in a group.
type card struct {
	route.Accelerator
	// servers is how many servers have it.
	servers int
	// time is the seconds that a usual request takes for each layer there.
	time float64
}

// cardsOf counts the kinds of accelerators of some servers.
func cardsOf(e *route.Engine, servers []*fleet.Server) map[string]*card {
	cards := map[string]*card{}
	for _, s := range servers {
		if cards[s.Accelerator] == nil {
			c := &card{Accelerator: e.Accelerators[s.Accelerator]}
			c.time = c.layerTime(e)
			cards[s.Accelerator] = c
		}
		cards[s.Accelerator].servers++
	}
	return cards
}

// layerTime returns the seconds that a usual request takes for each layer if the
// server leaves the most room for requests.
func (c *card) layerTime(e *route.Engine) float64 {
	n := max(1, size(e, c.MemoryMB, usualRoom(e)))
	write := c.stepTime(e, n).Seconds() * float64(e.MeanAnswer) / float64(n)
	read := float64(e.MeanPrompt) / max(e.PrefillPerSec, 1) * c.PrefillFactor / float64(e.Layers)
	return write + read
}

// stepTime returns how long a token takes to get to a server and through so many
// layers there.
func (c *card) stepTime(e *route.Engine, layers int) time.Duration {
	step := float64(e.Step) * c.StepFactor * float64(layers) / float64(e.Layers)
	return hopTime + time.Duration(step)
}

// usualRoom returns the most tokens of requests that are kept free.
func usualRoom(e *route.Engine) float64 {
	return usualRequests * float64(e.MeanPrompt+e.MeanAnswer)
}

// balanced returns the room for requests, in tokens, that the servers should
// have beside all layers. Less room lets the fastest servers hold more of the
// layers: an answer then takes less time, fewer of them are under way when
// something fails, and less room is needed. Of the rooms that the servers can
// afford it is the one with the most headroom for the time that an answer takes:
// requests that fit, over those under way at a given load, which grow with that
// time, and once more over that time, since it is how long an answer can be hit.
// Where the layers are held several times most requests take other ways than the
// fastest, so that room is worth more than its pace.
func (g *group) balanced() float64 {
	if g.layersWith(usualRoom(g.engine)) >= severalCopies*g.engine.Layers {
		return usualRoom(g.engine)
	}
	cards := slices.SortedFunc(maps.Values(g.cards), func(a, b *card) int { return cmp.Compare(a.time, b.time) })
	var best, bestWorth float64
	for i := roomSteps; i > 0; i-- {
		tokens := usualRoom(g.engine) * float64(i) / roomSteps
		pace, whole := pace(g.engine, cards, tokens)
		if worth := tokens / (pace * pace); whole && worth > bestWorth {
			best, bestWorth = tokens, worth
		}
	}
	return best
}

// layersWith returns how many layers the servers hold if each leaves so much room.
func (g *group) layersWith(tokens float64) int {
	sum := 0
	for _, c := range g.cards {
		sum += c.servers * size(g.engine, c.MemoryMB, tokens)
	}
	return sum
}

// pace returns the seconds that a token takes on its way through all layers if
// each server leaves so much room for requests, and those with the first of the
// cards hold as many layers as they can. Whole is false if all together cannot
// hold the model.
func pace(e *route.Engine, cards []*card, tokens float64) (seconds float64, whole bool) {
	left := e.Layers
	for _, c := range cards {
		n := size(e, c.MemoryMB, tokens)
		for range c.servers {
			if n <= 0 || left == 0 {
				break
			}
			held := min(n, left)
			seconds += c.stepTime(e, held).Seconds()
			left -= held
		}
	}
	return seconds, left == 0
}
