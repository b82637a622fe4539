package share

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"
)

const (
	// logInterval is the time between two lines on a service that stays contended.
	logInterval = 5 * time.Second
	// firstLogAfter is the time from which the averages include what made it contended.
	firstLogAfter = time.Second
	// maxLogged bounds the classes in a line.
	maxLogged = 4
)

// logContended logs who precedes and who leaves how much free, at intervals while the
// service is contended.
func (s *service) logContended(log *slog.Logger, list []*class, h headrooms, now time.Time) {
	if !s.contended {
		s.contended, s.loggedAt = true, now.Add(firstLogAfter-logInterval)
	}
	if now.Sub(s.loggedAt) < logInterval {
		return
	}
	s.loggedAt = now
	log.Info("shares: contended", "service", s.name,
		"precede", largest(list, h.reserved, "%.0f"), "headrooms", largest(list, h.classes, "%.3f"))
}

// logFree logs that the service is no longer contended.
func (s *service) logFree(log *slog.Logger) {
	if s.contended {
		s.contended = false
		log.Info("shares: free", "service", s.name)
	}
}

// largest lists the classes with the largest values as TEAM/RANK=VALUE.
func largest(list []*class, values []float64, format string) string {
	order := make([]int, 0, len(list))
	for i, v := range values {
		if v > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(values[b], values[a]) })
	var parts []string
	for _, i := range order[:min(len(order), maxLogged)] {
		parts = append(parts, fmt.Sprintf("%s/%d="+format, list[i].Team, list[i].Rank, values[i]))
	}
	return strings.Join(parts, " ")
}
