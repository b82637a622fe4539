package peer

import "time"

// Usage is the rate at which one member serves a team.
type Usage struct {
	Team string
	// Rate is in requests per second.
	Rate float64
}

// usageAge is how long a member's report of its usage counts.
const usageAge = 15 * time.Second

type report struct {
	rate float64
	at   time.Time
}

// RemoteUsage holds what the other members report of each team's use. It is pure
// and not safe for concurrent use; the zero value is empty.
type RemoteUsage struct {
	teams map[string]map[ID]report
}

// Add takes the report of a member.
func (l *RemoteUsage) Add(from ID, u Usage, now time.Time) {
	if l.teams == nil {
		l.teams = map[string]map[ID]report{}
	}
	if l.teams[u.Team] == nil {
		l.teams[u.Team] = map[ID]report{}
	}
	l.teams[u.Team][from] = report{u.Rate, now}
}

// Rates returns each team's rate over the other members. Reports come from
// the members heard from lately; in a larger fleet they are a sample, whose
// sum is scaled up to all others.
func (l *RemoteUsage) Rates(heard, others int, now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(l.teams))
	scale := float64(max(others, 1)) / float64(max(min(heard, others), 1))
	for team, reports := range l.teams {
		sum := 0.0
		for id, r := range reports {
			if now.Sub(r.at) > usageAge {
				delete(reports, id)
				continue
			}
			sum += r.rate
		}
		if len(reports) == 0 {
			delete(l.teams, team)
			continue
		}
		rates[team] = sum * scale
	}
	return rates
}
