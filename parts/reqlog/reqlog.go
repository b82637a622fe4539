// Package reqlog finds the log lines of several processes that explain one
// request.
//
// These are the lines with the request's ID and, from the same seconds, lines
// about the backend servers that these lines name and about the dependencies
// of the processes that wrote them. A request may fail because a server failed
// or the object API was unavailable, which only lines without its ID show.
//
// Logs carry the wall-clock time of their host and no logical clock, so lines
// of hosts with different clocks may be in the wrong order.
package reqlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// windowBefore and windowAfter extend the time of the request's own lines
	// to the window in which other lines may explain it. The entry of a failed
	// server remains for three heartbeats, about four seconds.
	windowBefore = 4 * time.Second
	windowAfter  = time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Entry is one log line.
type Entry struct {
	// At is the wall-clock time of the host that wrote the line.
	At time.Time
	// Node is the host, and Message the log message.
	Node, Message string
	// Own reports that the line has the request's ID.
	Own bool
	// Attrs holds the other attributes by name.
	Attrs map[string]any
}

// Source is the log output of one process.
type Source struct {
	// Name is used in errors and for lines without a host.
	Name string
	From io.Reader
}

// Find returns the entries that explain a request, ordered by time. The error
// joins those of all sources that could not be read completely; the entries
// that could be read are returned nevertheless.
func Find(request string, sources ...Source) ([]Entry, error) {
	all, err := Read(sources...)
	for i := range all {
		all[i].Own = all[i].Attrs["request"] == request
	}
	return relevant(all), err
}

// Read returns all entries, ordered by time. The error joins those of all
// sources that could not be read completely; the entries that could be read are
// returned nevertheless.
func Read(sources ...Source) ([]Entry, error) {
	var all []Entry
	var errs []error
	for _, src := range sources {
		list, err := readSource(src)
		all = append(all, list...)
		errs = append(errs, err)
	}
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node))
	})
	return all, errors.Join(errs...)
}

// readSource decodes the lines of a source. Lines that are not JSON objects
// come from another writer, such as the Go runtime on a panic, and are skipped.
func readSource(src Source) ([]Entry, error) {
	var list []Entry
	scan := bufio.NewScanner(src.From)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		e, ok := decode(scan.Bytes())
		if !ok {
			continue
		}
		if e.Node == "" {
			e.Node = src.Name
		}
		list = append(list, e)
	}
	if err := scan.Err(); err != nil {
		return list, fmt.Errorf("%s: %w", src.Name, err)
	}
	return list, nil
}

// decode decodes one line, and skips any text before the JSON object.
func decode(line []byte) (Entry, bool) {
	start := slices.Index(line, '{')
	if start < 0 {
		return Entry{}, false
	}
	attrs := map[string]any{}
	if err := json.Unmarshal(line[start:], &attrs); err != nil {
		return Entry{}, false
	}
	takeString := func(name string) string {
		s, _ := attrs[name].(string)
		delete(attrs, name)
		return s
	}
	e := Entry{Node: takeString("node"), Message: takeString("msg"), Attrs: attrs}
	at, err := time.Parse(time.RFC3339Nano, takeString("time"))
	if err != nil || e.Message == "" {
		return Entry{}, false
	}
	e.At = at
	return e, true
}

// relevant returns the request's own entries and those that may explain them.
func relevant(all []Entry) []Entry {
	s := scope{nodes: map[string]bool{}, names: map[string]bool{}}
	for _, e := range all {
		if e.Own {
			s.add(e)
		}
	}
	if len(s.nodes) == 0 {
		return nil
	}
	return slices.DeleteFunc(all, func(e Entry) bool { return !e.Own && !s.mayExplain(e) })
}

// scope is the time of a request, and the processes and servers that took part
// in it.
type scope struct {
	first, last time.Time
	// nodes holds the processes that logged the request, and names the IDs and
	// addresses of the servers in these lines.
	nodes, names map[string]bool
}

// add extends the scope by one of the request's own entries.
func (s *scope) add(e Entry) {
	if s.first.IsZero() {
		s.first = e.At
	}
	s.last = e.At
	s.nodes[e.Node] = true
	for _, name := range []string{"server", "address", "first", "failed", "at"} {
		if named, ok := e.Attrs[name].(string); ok && named != "" {
			s.names[named] = true
		}
	}
	chain, _ := e.Attrs["chain"].(string)
	for part := range strings.FieldsSeq(chain) {
		id, _, _ := strings.Cut(part, "=")
		s.names[id] = true
	}
}

// mayExplain reports whether a line without the request's ID may explain it.
func (s *scope) mayExplain(e Entry) bool {
	if e.At.Before(s.first.Add(-windowBefore)) || e.At.After(s.last.Add(windowAfter)) {
		return false
	}
	if _, hasRequest := e.Attrs["request"]; hasRequest || !s.nodes[e.Node] {
		return false
	}
	area, _, _ := strings.Cut(e.Message, ":")
	switch area {
	case "node", "store", "config":
		return true
	}
	server, _ := e.Attrs["server"].(string)
	address, _ := e.Attrs["address"].(string)
	return s.names[server] || s.names[address]
}

// String formats the entry as one line, with a star for the request's own
// entries.
func (e Entry) String() string {
	mark := " "
	if e.Own {
		mark = "*"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s %s", mark, e.At.UTC().Format("15:04:05.000000"), e.Node, e.Message)
	for _, name := range slices.Sorted(maps.Keys(e.Attrs)) {
		if name == "level" || name == "request" {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, e.Attrs[name])
	}
	return b.String()
}
