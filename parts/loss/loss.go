// Package loss says from logs why requests were not served on time.
//
// Each request ends with one line of its entry host. [Classify] puts each into a
// window of time by when it came, and under the [Cause] that cost its caller
// most. Streams that paused are counted once more by what the watch over
// streams said of them: it tells whether deaths are noticed late, whether
// another chain was missing, or whether neither explains the pause.
package loss

import (
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/reqlog"
)

// Cause is why a request was not served on time, or that it was.
type Cause uint8

// The causes, in the order of the table's columns.
const (
	// OnTime: it was served on time.
	OnTime Cause = iota
	// LateFirst: its first event came late.
	LateFirst
	// ShortPause, Pause and LongPause: its longest pause was up to 500 ms, up to
	// a second, or longer.
	ShortPause
	Pause
	LongPause
	// Refused: it was refused and has not run.
	Refused
	// Denied: the configuration does not allow it. Nothing is lost.
	Denied
	// Truncated: its answer broke off.
	Truncated
	// Failed: it was answered with a failure.
	Failed
	// Abandoned: its caller did not wait for the end.
	Abandoned
	causes
)

// names are the headings of the causes.
var names = [causes]string{"on time", "first late", "pause<0.5s", "<1s", "longer", "refused", "denied", "cut", "failed", "left"}

// The bounds of the pauses that are told apart.
const (
	shortPause = 500 * time.Millisecond
	pause      = time.Second
)

// The messages that are read, and those of the watch that explain a pause.
const (
	answered = "request: answered"
	ended    = "request: ended"
	rerouted = "watch: rerouted"
	noWay    = "watch: no other way"
)

// How the errors of requests begin that the configuration does not allow.
const (
	noRoute      = string(fault.NoRoute) + ":"
	unauthorized = string(fault.Unauthorized) + ":"
)

// Row counts requests by their causes.
type Row struct {
	Name   string
	Counts [causes]int
}

// Pauses counts streams that paused too long by what was done meanwhile.
type Pauses struct {
	// Rerouted got another chain; NoAlternative had none at first; Unexplained means that
	// nothing was noticed, or that the chain was merely slow.
	Rerouted, NoAlternative, Unexplained int
}

// Table is the account of the requests in some logs.
type Table struct {
	// Windows are spans of equal length, Routes and Hosts say who was affected.
	Windows, Routes, Hosts []Row
	Pauses                 Pauses
	// Skipped is how many lines of requests the logs left out: their rate is
	// bounded.
	Skipped int
}

// Classify makes the account of all requests in the entries, in windows of the
// given length from the first entry on.
func Classify(entries []reqlog.Entry, every time.Duration) *Table {
	c := counter{windows: map[string]*Row{}, routes: map[string]*Row{}, hosts: map[string]*Row{}, told: map[string]string{}}
	if len(entries) == 0 {
		return &c.table
	}
	start := entries[0].At
	for _, e := range entries {
		if id := text(e, "request"); id != "" && (e.Message == rerouted || e.Message == noWay) {
			c.told[id] = e.Message
		}
	}
	for _, e := range entries {
		if e.Message != answered && e.Message != ended {
			continue
		}
		came := e.At.Add(-duration(e, "took")).Sub(start)
		c.add(e, max(0, came).Truncate(every))
	}
	c.table.Windows = sorted(c.windows)
	c.table.Routes = sorted(c.routes)
	c.table.Hosts = sorted(c.hosts)
	return &c.table
}

// counter adds up requests.
type counter struct {
	table                  Table
	windows, routes, hosts map[string]*Row
	// told is what the watch last said of a stream, by its request's ID.
	told map[string]string
}

func (c *counter) add(e reqlog.Entry, window time.Duration) {
	cause := causeOf(e)
	count(c.windows, clock(window), cause)
	count(c.routes, text(e, "route"), cause)
	count(c.hosts, e.Node, cause)
	skipped, _ := e.Attrs["skipped"].(float64)
	c.table.Skipped += int(skipped)
	if cause != ShortPause && cause != Pause && cause != LongPause {
		return
	}
	switch c.told[text(e, "request")] {
	case rerouted:
		c.table.Pauses.Rerouted++
	case noWay:
		c.table.Pauses.NoAlternative++
	default:
		c.table.Pauses.Unexplained++
	}
}

// causeOf finds what cost the caller of a request most.
func causeOf(e reqlog.Entry) Cause {
	failure := text(e, "error")
	status, _ := e.Attrs["status"].(float64)
	broken, _ := e.Attrs["broken"].(bool)
	switch {
	case strings.HasPrefix(failure, "cancelled"):
		return Abandoned
	case broken:
		return Truncated
	case strings.HasPrefix(failure, noRoute) || strings.HasPrefix(failure, unauthorized):
		return Denied
	case failure != "" && text(e, "verdict") == "not-run":
		return Refused
	case failure != "" || status >= 500:
		return Failed
	}
	switch text(e, "late") {
	case "first":
		return LateFirst
	case "pause":
		return pauseOf(duration(e, "gap"))
	}
	return OnTime
}

func pauseOf(gap time.Duration) Cause {
	switch {
	case gap <= shortPause:
		return ShortPause
	case gap <= pause:
		return Pause
	}
	return LongPause
}

func count(rows map[string]*Row, name string, cause Cause) {
	if rows[name] == nil {
		rows[name] = &Row{Name: name}
	}
	rows[name].Counts[cause]++
}

func sorted(rows map[string]*Row) []Row {
	list := make([]Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func text(e reqlog.Entry, name string) string {
	s, _ := e.Attrs[name].(string)
	return s
}

// duration reads an attribute that log/slog wrote as nanoseconds.
func duration(e reqlog.Entry, name string) time.Duration {
	n, _ := e.Attrs[name].(float64)
	return time.Duration(n)
}
