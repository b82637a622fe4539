package share

import "time"

// service holds the classes of a service. The mutex of the tracker protects it.
type service struct {
	name    string
	classes map[teamRank]*class
	// perRequest is the mean work of a request at this entry host; zero is unknown.
	perRequest float64
	// contendedAt is when a request last waited or was refused at a host known of.
	contendedAt time.Time
	// contended says that the last sweep found the service contended, and logged that a
	// line has said so. logDue is when the next such line may follow.
	contended, logged bool
	logDue            time.Time
}

// teamRank identifies a class of a service.
type teamRank struct {
	team string
	rank int
}

// isContended reports whether a request waits, or has waited or was refused lately.
func (s *service) isContended(now time.Time) bool {
	return now.Sub(s.contendedAt) < contendedFor
}

// update advances the averages of the classes and drops idle classes.
func (s *service) update(elapsed time.Duration, now time.Time) {
	for key, c := range s.classes {
		c.update(elapsed, now)
		if c.waiting.requests > 0 {
			s.contendedAt = now
		}
		if now.Sub(c.usedAt) > idleFor {
			delete(s.classes, key)
		}
	}
}

// decide returns the classes and the decision for them.
func (s *service) decide() ([]*class, headrooms) {
	list := make([]*class, 0, len(s.classes))
	demands := make([]demand, 0, len(s.classes))
	for _, c := range s.classes {
		list = append(list, c)
		demands = append(demands, c.demand())
	}
	return list, decide(demands)
}
