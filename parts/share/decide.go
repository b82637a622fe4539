package share

import "math"

// demand is what a decision takes into account of a class.
type demand struct {
	Usage
	rank int
	// served is the work begun per second.
	served float64
	// perRequest is the mean work of a request.
	perRequest float64
}

// headrooms is the decision for a service.
type headrooms struct {
	// ranks holds the headroom of a class without usage, by rank.
	ranks [Ranks]float64
	// classes holds the headrooms of the classes, in the order of the demands, and
	// reserved about how much work others leave free for each.
	classes, reserved []float64
}

// totals are sums over all classes of a service.
type totals struct{ running, served float64 }

// decide computes the headrooms for the classes of a contended service.
func decide(list []demand) headrooms {
	out := headrooms{classes: make([]float64, len(list)), reserved: make([]float64, len(list))}
	all, byRank, last := split(list)
	var urgent preceding
	for rank, members := range byRank {
		g := newGroup(list, members, all)
		g.divide(max(g.running, all.running-urgent.wanted))
		reserve, missing := urgent.reserve(), g.missing
		if urgent.wanted > 0 && g.served < minShare*all.served {
			// Until it has its minimum share again, the rank leaves nothing free.
			reserve, missing = 0, 0
		}
		out.ranks[rank] = headroom(reserve, all.running)
		for n, i := range members {
			out.classes[i] = out.ranks[rank]
			if g.runs[n] > g.shares[n] {
				out.classes[i] = headroom(reserve+missing, all.running)
			}
			out.reserved[i] = g.reserved(n, rank < last)
		}
		urgent.add(g)
	}
	return out
}

// split returns the totals, the indices of the classes by rank, and the least urgent rank
// that has classes.
func split(list []demand) (all totals, byRank [Ranks][]int, last int) {
	for i, d := range list {
		all.running += d.Running
		all.served += d.served
		byRank[d.rank] = append(byRank[d.rank], i)
		last = max(last, d.rank)
	}
	return all, byRank, last
}

// preceding is the sum of the ranks that are more urgent than one.
type preceding struct{ unmet, variance, wanted float64 }

func (p *preceding) add(g *group) {
	p.unmet += g.unmet
	p.variance += g.variance
	p.wanted += g.running + g.unmet
}

// reserve returns the work that less urgent ranks leave free.
func (p *preceding) reserve() float64 { return p.unmet + deviations*math.Sqrt(p.variance) }

// headroom returns the share of the capacity that an amount of work takes. The work that
// runs falls by what is kept free, so the capacity is about the sum of both; dividing by
// the work that runs alone would let a reserve increase itself.
func headroom(reserve, running float64) float64 {
	if reserve <= 0 {
		return 0
	}
	return min(maxHeadroom, reserve/(running+reserve))
}

// group holds the classes of one rank.
type group struct {
	demands, variances, shares, runs []float64
	running, served, unmet, variance float64
	// missing is how much the classes below their share lack to it.
	missing float64
}

// newGroup returns the group of the members of a list.
func newGroup(list []demand, members []int, all totals) *group {
	g := &group{}
	for _, i := range members {
		d := list[i]
		unmet := d.unmet(all)
		// The work of requests that arrive independently has this variance.
		variance := (d.Running + unmet) * d.perRequest
		g.demands = append(g.demands, d.Running+unmet)
		g.variances = append(g.variances, variance)
		g.runs = append(g.runs, d.Running)
		g.running += d.Running
		g.served += d.served
		g.unmet += unmet
		g.variance += variance
	}
	return g
}

// divide computes the shares of the classes in an amount of work that runs.
func (g *group) divide(capacity float64) {
	g.shares = shares(capacity, g.demands, g.variances)
	for n, share := range g.shares {
		g.missing += max(0, share-g.runs[n])
	}
}

// reserved returns about how much work others leave free for the n-th class.
func (g *group) reserved(n int, hasLessUrgent bool) float64 {
	limit := g.shares[n]
	if hasLessUrgent {
		limit = max(limit, g.demands[n]+deviations*math.Sqrt(g.variances[n]))
	}
	return max(0, limit-g.runs[n])
}

// unmet returns the work that would run in addition if there were capacity. A request that
// is refused has often waited before, and waits again when it returns, so that not both are
// counted. Refused work counts for as long as it would have run, but at most as much as the
// class uses already, or the minimum share: callers that repeat at once are refused many
// times for the same work, while a class that needs more doubles its use until it is met.
func (d demand) unmet(all totals) float64 {
	if d.Refused <= 0 {
		return d.Waiting
	}
	refused := max(d.Running+d.Waiting, minShare*all.running)
	if all.served > 0 {
		refused = min(refused, d.Refused*all.running/all.served)
	}
	return max(d.Waiting, refused)
}
