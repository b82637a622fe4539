// Package drain decides whether a planned stop of a backend server is safe:
// whether the server can be taken away without cutting a request.
//
// Each entry host reports how many of its own requests are on the server. A
// report counts only if the entry already had the stop in force when it
// counted, since before that a new request could still begin. An entry that
// does not report is never taken for one that has nothing in flight.
package drain

import "slices"

// Report is what one entry host says about one backend server.
type Report struct {
	// Cordoned says that the entry sends no new work to the server.
	Cordoned bool
	// Revision is the configuration revision that the entry had in force
	// when it counted.
	Revision uint64
	// InFlight is the number of the entry's own requests on the server.
	InFlight int64
}

// Outcome is what is known about a stop.
type Outcome struct {
	// Safe says that the server can be taken away.
	Safe bool
	// InFlight is the number of requests that the reports that count hold.
	InFlight int64
	// Unresponsive names entries that do not answer, sorted.
	Unresponsive []string
	// Lagging names entries that answer but do not have the stop in force
	// yet, sorted.
	Lagging []string
}

// Evaluate decides on the stop that was set at the given revision. Entries are
// all entry hosts that the platform's host list has and that did not say
// goodbye, and the one that asks. Reports are by entry; those of other names
// count for nothing.
func Evaluate(revision uint64, entries []string, reports map[string]Report) Outcome {
	var o Outcome
	for _, name := range entries {
		report, answered := reports[name]
		switch {
		case !answered:
			o.Unresponsive = append(o.Unresponsive, name)
		case !report.Cordoned || report.Revision < revision:
			o.Lagging = append(o.Lagging, name)
		default:
			o.InFlight += report.InFlight
		}
	}
	slices.Sort(o.Unresponsive)
	slices.Sort(o.Lagging)
	o.Safe = len(entries) > 0 && o.InFlight == 0 && len(o.Unresponsive) == 0 && len(o.Lagging) == 0
	return o
}
