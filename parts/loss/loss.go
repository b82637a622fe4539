// Package loss determines from logs why requests were not served on time.
//
// Each request ends with one log line of its entry host. [Classify] assigns
// each request to a time window by its arrival, and to the [Cause] that
// affected its caller most. Streams with long pauses are also counted by what
// the stream monitor logged about them. This shows whether failures are
// detected late, whether no other chain was available, or whether neither
// explains the pause.
package loss

import (
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/reqlog"
)

// Cause is why a request was not served on time, or OnTime.
type Cause uint8

// The causes, in the order of the table's columns.
const (
	// OnTime: the request was served on time.
	OnTime Cause = iota
	// LateFirst: its first event was late.
	LateFirst
	// ShortPause, Pause and LongPause: its longest pause was at most 500 ms,
	// at most a second, or longer.
	ShortPause
	Pause
	LongPause
	// Refused: it was refused before it ran.
	Refused
	// Denied: the configuration does not allow it; this is no failure of the
	// system.
	Denied
	// Truncated: its response ended early.
	Truncated
	// Failed: its response was an error.
	Failed
	// Abandoned: its caller disconnected before the end.
	Abandoned
	causeCount
)

// headings are the column headings of the causes.
var headings = [causeCount]string{"on time", "first late", "pause<0.5s", "<1s", "longer", "refused", "denied", "cut", "failed", "left"}

// The longest pauses that count as ShortPause and as Pause.
const (
	maxShortPause = 500 * time.Millisecond
	maxPause      = time.Second
)

// The messages of the log lines that end a request, and those of the stream
// monitor that explain a pause.
const (
	answered      = "request: answered"
	ended         = "request: ended"
	rerouted      = "watch: rerouted"
	noAlternative = "watch: no other way"
)

// The prefixes of the errors of requests that the configuration does not allow.
const (
	noRoute      = string(fault.NoRoute) + ":"
	unauthorized = string(fault.Unauthorized) + ":"
)

// Row counts requests by cause.
type Row struct {
	Name   string
	Counts [causeCount]int
}

// Pauses counts streams with long pauses by what the stream monitor did.
type Pauses struct {
	// Rerouted is the number of streams that got another chain, and
	// NoAlternative of those for which there was none at first. Unexplained
	// streams had no detected failure, or a chain that was merely slow.
	Rerouted, NoAlternative, Unexplained int
}

// Table holds the counts of the requests of some logs.
type Table struct {
	// Windows counts the requests by time window, Routes by route, and Hosts
	// by entry host.
	Windows, Routes, Hosts []Row
	Pauses                 Pauses
	// Skipped is the number of request lines that are missing from the logs
	// because of their rate limit.
	Skipped int
}

// Classify counts all requests in the entries by cause, in time windows of the
// given length from the first entry on.
func Classify(entries []reqlog.Entry, window time.Duration) *Table {
	c := classifier{windows: map[string]*Row{}, routes: map[string]*Row{}, hosts: map[string]*Row{}, monitorMessages: map[string]string{}}
	if len(entries) == 0 {
		return &c.table
	}
	start := entries[0].At
	for _, e := range entries {
		if id := stringAttr(e, "request"); id != "" && (e.Message == rerouted || e.Message == noAlternative) {
			c.monitorMessages[id] = e.Message
		}
	}
	for _, e := range entries {
		if e.Message != answered && e.Message != ended {
			continue
		}
		arrival := e.At.Add(-durationAttr(e, "took")).Sub(start)
		c.add(e, max(0, arrival).Truncate(window))
	}
	c.table.Windows = sorted(c.windows)
	c.table.Routes = sorted(c.routes)
	c.table.Hosts = sorted(c.hosts)
	return &c.table
}

// classifier counts requests.
type classifier struct {
	table                  Table
	windows, routes, hosts map[string]*Row
	// monitorMessages holds the last message of the stream monitor about each
	// stream, by request ID.
	monitorMessages map[string]string
}

// add counts the request that ended with an entry.
func (c *classifier) add(e reqlog.Entry, window time.Duration) {
	cause := causeOf(e)
	countRow(c.windows, windowName(window), cause)
	countRow(c.routes, stringAttr(e, "route"), cause)
	countRow(c.hosts, e.Node, cause)
	skipped, _ := e.Attrs["skipped"].(float64)
	c.table.Skipped += int(skipped)
	if cause != ShortPause && cause != Pause && cause != LongPause {
		return
	}
	switch c.monitorMessages[stringAttr(e, "request")] {
	case rerouted:
		c.table.Pauses.Rerouted++
	case noAlternative:
		c.table.Pauses.NoAlternative++
	default:
		c.table.Pauses.Unexplained++
	}
}

// causeOf returns the cause that affected the caller of a request most.
func causeOf(e reqlog.Entry) Cause {
	errText := stringAttr(e, "error")
	status, _ := e.Attrs["status"].(float64)
	broken, _ := e.Attrs["broken"].(bool)
	switch {
	case strings.HasPrefix(errText, "cancelled"):
		return Abandoned
	case broken:
		return Truncated
	case strings.HasPrefix(errText, noRoute) || strings.HasPrefix(errText, unauthorized):
		return Denied
	case errText != "" && stringAttr(e, "verdict") == "not-run":
		return Refused
	case errText != "" || status >= 500:
		return Failed
	}
	switch stringAttr(e, "late") {
	case "first":
		return LateFirst
	case "pause":
		return pauseOf(durationAttr(e, "gap"))
	}
	return OnTime
}

// pauseOf returns the cause for a longest gap.
func pauseOf(gap time.Duration) Cause {
	switch {
	case gap <= maxShortPause:
		return ShortPause
	case gap <= maxPause:
		return Pause
	}
	return LongPause
}

// countRow counts a request in the row with the given name.
func countRow(rows map[string]*Row, name string, cause Cause) {
	if rows[name] == nil {
		rows[name] = &Row{Name: name}
	}
	rows[name].Counts[cause]++
}

// sorted returns the rows ordered by name.
func sorted(rows map[string]*Row) []Row {
	list := make([]Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// stringAttr returns an attribute that is a string, or an empty string.
func stringAttr(e reqlog.Entry, name string) string {
	s, _ := e.Attrs[name].(string)
	return s
}

// durationAttr returns an attribute that log/slog wrote as nanoseconds.
func durationAttr(e reqlog.Entry, name string) time.Duration {
	n, _ := e.Attrs[name].(float64)
	return time.Duration(n)
}
