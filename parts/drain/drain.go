// Package drain decides whether a planned stop of a backend server is safe:
// whether the server can be removed without aborting a request.
//
// Each entry host reports how many of its own requests are in flight on the
// server. A report is valid only if the stop was already in force on the entry
// host when it counted the requests, since otherwise a new request could start
// after the count. An entry host that does not report is never assumed to have
// no requests in flight.
package drain

import "slices"

// Report is the report of one entry host about one backend server.
type Report struct {
	// Cordoned reports that the entry host sends no new work to the server.
	Cordoned bool
	// Revision is the configuration revision that was in force on the entry
	// host when it counted its requests.
	Revision uint64
	// InFlight is the number of the entry host's own requests on the server.
	InFlight int64
}

// Outcome is the state of a planned stop.
type Outcome struct {
	// Safe reports that the server can be removed.
	Safe bool
	// InFlight is the number of requests in flight in the valid reports.
	InFlight int64
	// Unresponsive lists entry hosts without a report, sorted.
	Unresponsive []string
	// Lagging lists entry hosts on which the stop is not in force yet, sorted.
	Lagging []string
}

// Evaluate returns the state of a stop that was set at the given revision.
// entryHosts lists the entry hosts that the platform lists and that have not
// announced their departure, and the one that calls Evaluate. Reports are
// keyed by entry host; those of other hosts are ignored.
func Evaluate(revision uint64, entryHosts []string, reports map[string]Report) Outcome {
	var o Outcome
	for _, name := range entryHosts {
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
	o.Safe = len(entryHosts) > 0 && o.InFlight == 0 && len(o.Unresponsive) == 0 && len(o.Lagging) == 0
	return o
}
