// Package trail finds in the logs of several processes what explains one
// request.
//
// That is the lines which bear the request's ID, and beside them what the same
// seconds say of the backend servers that those lines name, and of the
// dependencies of the processes that wrote them: a request fails since a server
// died or a store was away, and only lines without its ID tell so.
//
// Logs carry the time of day of their host and no logical clock, so lines of
// two hosts whose clocks differ may stand in the wrong order.
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
	// before and after bound the time around the request's own lines in which
	// other lines may explain it. A dead server's entry outlives it by three
	// heartbeats, some four seconds.
	before = 4 * time.Second
	after  = time.Second
	// longest bounds a line of a log, in bytes.
	longest = 1 << 20
)

// Entry is one line of a log.
type Entry struct {
	// At is the time of day at the host that wrote the line.
	At time.Time
	// Node is the host, and Message its short sentence.
	Node, Message string
	// Own says that the line bears the request's ID.
	Own bool
	// Attrs are the other attributes, by their names.
	Attrs map[string]any
}

// Source is the output of one process.
type Source struct {
	// Name is shown in errors and for lines that name no host.
	Name string
	From io.Reader
}

// Find returns what explains a request, in the order of time. The error joins
// what could not be read; the entries of what could are returned all the same.
func Find(request string, logs ...Source) ([]Entry, error) {
	all, err := Read(logs...)
	for i := range all {
		all[i].Own = all[i].Attrs["request"] == request
	}
	return explain(all), err
}

// Read returns all lines, in the order of time. The error joins what could not
// be read; the entries of what could are returned all the same.
func Read(logs ...Source) ([]Entry, error) {
	var all []Entry
	var faults []error
	for _, l := range logs {
		list, err := read(l)
		all = append(all, list...)
		faults = append(faults, err)
	}
	slices.SortStableFunc(all, func(a, b Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node))
	})
	return all, errors.Join(faults...)
}

// read decodes the lines of a log. Lines that are no JSON objects are of
// another writer, for example a runtime that ends, and are passed over.
func read(l Source) ([]Entry, error) {
	var list []Entry
	scan := bufio.NewScanner(l.From)
	scan.Buffer(nil, longest)
	for scan.Scan() {
		e, ok := decode(scan.Bytes())
		if !ok {
			continue
		}
		if e.Node == "" {
			e.Node = l.Name
		}
		list = append(list, e)
	}
	if err := scan.Err(); err != nil {
		return list, fmt.Errorf("%s: %w", l.Name, err)
	}
	return list, nil
}

func decode(line []byte) (Entry, bool) {
	start := slices.Index(line, '{')
	if start < 0 {
		return Entry{}, false
	}
	attrs := map[string]any{}
	if err := json.Unmarshal(line[start:], &attrs); err != nil {
		return Entry{}, false
	}
	text := func(name string) string {
		s, _ := attrs[name].(string)
		delete(attrs, name)
		return s
	}
	e := Entry{Node: text("node"), Message: text("msg"), Attrs: attrs}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil || e.Message == "" {
		return Entry{}, false
	}
	e.At = at
	return e, true
}

// explain keeps the request's own lines and those that may explain them.
func explain(all []Entry) []Entry {
	s := scope{nodes: map[string]bool{}, names: map[string]bool{}}
	for _, e := range all {
		if e.Own {
			s.add(e)
		}
	}
	if len(s.nodes) == 0 {
		return nil
	}
	return slices.DeleteFunc(all, func(e Entry) bool { return !e.Own && !s.explains(e) })
}

// scope is where and when a request went.
type scope struct {
	first, last time.Time
	// nodes are the processes that wrote of it, names the servers and their
	// addresses that those lines name.
	nodes, names map[string]bool
}

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

// explains reports whether a line without the request's ID may explain it.
func (s *scope) explains(e Entry) bool {
	if e.At.Before(s.first.Add(-before)) || e.At.After(s.last.Add(after)) {
		return false
	}
	if _, ofAnother := e.Attrs["request"]; ofAnother || !s.nodes[e.Node] {
		return false
	}
	part, _, _ := strings.Cut(e.Message, ":")
	switch part {
	case "node", "store", "config":
		return true
	}
	server, _ := e.Attrs["server"].(string)
	address, _ := e.Attrs["address"].(string)
	return s.names[server] || s.names[address]
}

// String shows the entry in one line: a star marks the request's own.
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
