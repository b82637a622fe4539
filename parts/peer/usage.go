package peer

import "time"

// Usage is the rate at which one member serves the requests of a team.
type Usage struct {
	Team string
	// Rate is in requests per second.
	Rate float64
}

// usageTTL is how long the usage report of a member is valid.
const usageTTL = 15 * time.Second

// usageReport is the last report of one member about one team.
type usageReport struct {
	rate float64
	at   time.Time
}

// RemoteUsage holds the usage reports of the other members. It does no I/O
// and is not safe for concurrent use; the zero value is empty.
type RemoteUsage struct {
	teams map[string]map[ID]usageReport
}

// Add records the report of a member.
func (r *RemoteUsage) Add(from ID, u Usage, now time.Time) {
	if r.teams == nil {
		r.teams = map[string]map[ID]usageReport{}
	}
	if r.teams[u.Team] == nil {
		r.teams[u.Team] = map[ID]usageReport{}
	}
	r.teams[u.Team][from] = usageReport{u.Rate, now}
}

// Rates returns the total rate of each team on the other members. Only the
// reporting members, which were heard from recently, have reports; in a large
// fleet they are a sample, whose sum is scaled up to all others.
func (r *RemoteUsage) Rates(reporting, others int, now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(r.teams))
	scale := float64(max(others, 1)) / float64(max(min(reporting, others), 1))
	for team, reports := range r.teams {
		sum := 0.0
		for id, rep := range reports {
			if now.Sub(rep.at) > usageTTL {
				delete(reports, id)
				continue
			}
			sum += rep.rate
		}
		if len(reports) == 0 {
			delete(r.teams, team)
			continue
		}
		rates[team] = sum * scale
	}
	return rates
}
