package share

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// logInterval is the time between two lines on a service that is contended.
	logInterval = 5 * time.Second
	// firstLogAfter is the time from which the averages include what made it contended.
	firstLogAfter = time.Second
	// maxLogged bounds the classes in a line.
	maxLogged = 4
)

// line is a log line. It is logged without the mutex of the tracker, which requests need.
type line struct {
	message string
	args    []any
}

// contendedLines returns the line with the classes that precede and the headrooms. There is
// none while all headrooms are zero, and at most one in logInterval, even if the contention
// ends and begins again meanwhile.
func (s *service) contendedLines(list []*class, h headrooms, now time.Time) []line {
	if !s.contended {
		s.contended = true
		if due := now.Add(firstLogAfter); s.logDue.Before(due) {
			s.logDue = due
		}
	}
	if now.Before(s.logDue) {
		return nil
	}
	leave := largest(list, h.classes, "%.3f")
	if leave == "" {
		return nil
	}
	s.logDue, s.logged = now.Add(logInterval), true
	return []line{{"shares: contended", []any{"service", s.name, "precede", largest(list, h.reserved, "%.0f"), "headrooms", leave}}}
}

// freeLines returns the line on a service that is no longer contended, if one has said
// that it was.
func (s *service) freeLines() []line {
	logged := s.logged
	s.contended, s.logged = false, false
	if !logged {
		return nil
	}
	return []line{{"shares: free", []any{"service", s.name}}}
}

// largest lists the classes with the largest values as TEAM/RANK=VALUE.
func largest(list []*class, values []float64, format string) string {
	order := make([]int, 0, len(list))
	for i, v := range values {
		if v > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if c := cmp.Compare(values[b], values[a]); c != 0 {
			return c
		}
		return list[a].compare(list[b].Class)
	})
	var parts []string
	for _, i := range order[:min(len(order), maxLogged)] {
		parts = append(parts, fmt.Sprintf("%s/%d="+format, list[i].Team, list[i].Rank, values[i]))
	}
	return strings.Join(parts, " ")
}
