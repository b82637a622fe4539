package queue

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/share"
)

const (
	// maxTeams is the number of teams that Stats names.
	maxTeams = 16
	// maxCounted is the number of teams that are counted apart, so that no sequence of
	// configurations takes up memory.
	maxCounted = 4096
	// otherTeams is the name of the teams that are not named.
	otherTeams = "other"
)

// Count is how many requests of a group were served and refused.
type Count struct {
	Served, Refused int64
}

// TeamCount is the Count of a team.
type TeamCount struct {
	Team string
	Count
}

// Stats counts requests since the start of the process.
type Stats struct {
	// Waiting is the number of requests that wait now.
	Waiting int
	// Full, Displaced and Timeout count refusals by reason.
	Full, Displaced, Timeout int64
	// Ranks holds the counts by rank.
	Ranks [route.LowestPriority + 1]Count
	// Teams holds the counts of the teams with the most requests, and of the rest together as
	// "other".
	Teams []TeamCount
}

// Stats returns the counts.
func (a *Admission) Stats() Stats {
	s := a.counts.stats()
	for _, l := range a.allLines() {
		s.Waiting += l.length()
	}
	return s
}

// counts counts requests.
type counts struct {
	mu      sync.Mutex
	reasons map[reason]int64
	ranks   [route.LowestPriority + 1]Count
	teams   map[string]Count
}

func (c *counts) served(class share.Class) { c.add(class, Count{Served: 1}) }

func (c *counts) refused(class share.Class, why reason) {
	c.add(class, Count{Refused: 1})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reasons == nil {
		c.reasons = map[reason]int64{}
	}
	c.reasons[why]++
}

func (c *counts) add(class share.Class, n Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rank := class.Rank
	if !route.ValidPriority(rank) {
		rank = route.LowestPriority
	}
	c.ranks[rank] = c.ranks[rank].plus(n)
	if c.teams == nil {
		c.teams = map[string]Count{}
	}
	team := class.Team
	if _, counted := c.teams[team]; !counted && len(c.teams) >= maxCounted {
		team = otherTeams
	}
	c.teams[team] = c.teams[team].plus(n)
}

func (c Count) plus(n Count) Count { return Count{c.Served + n.Served, c.Refused + n.Refused} }

func (c Count) total() int64 { return c.Served + c.Refused }

func (c *counts) stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{Full: c.reasons[fullReason], Displaced: c.reasons[displacedReason], Timeout: c.reasons[timeoutReason], Ranks: c.ranks}
	names := slices.SortedFunc(maps.Keys(c.teams), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.teams[b].total(), c.teams[a].total()), cmp.Compare(a, b))
	})
	other := TeamCount{Team: otherTeams}
	for _, name := range names {
		if len(s.Teams) < maxTeams && name != otherTeams {
			s.Teams = append(s.Teams, TeamCount{name, c.teams[name]})
			continue
		}
		other.Count = other.plus(c.teams[name])
	}
	s.Teams = append(s.Teams, other)
	return s
}
