package lang_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/lang"
)

var update = flag.Bool("update", false, "update the expected results in testdata")

// now is the time at which the lines of all tables are applied.
var now = time.Date(2026, 12, 3, 21, 30, 0, 0, time.UTC)

// hosts returns the host list of the tests: in each of two failure domains, three
// engines that hold layers 0-8, 8-16 and 16-24; an engine that holds layers 0-12;
// an engine of another model; a leaving engine; two hosts that run a plain
// service; and an entry host.
func hosts() map[string]host.Host {
	all := map[string]host.Host{
		"p1": {Name: "p1", Role: host.Plain, State: host.Live},
		"p2": {Name: "p2", Role: host.Plain, State: host.Live},
		"e1": {Name: "e1", Role: host.Entry, State: host.Live},
		"i1": {Name: "i1", Role: host.Engine, State: host.Live, Model: "iris", End: 8},
		"a9": {Name: "a9", Role: host.Engine, State: host.Leaving, Model: "lotus", End: 8},
		"c1": {Name: "c1", Role: host.Engine, State: host.Live, Model: "lotus", End: 12},
	}
	for stage := range 3 {
		for _, dom := range []string{"a", "b"} {
			name := fmt.Sprintf("%s%d", dom, stage+1)
			all[name] = host.Host{
				Name: name, Role: host.Engine, State: host.Live,
				Model: "lotus", First: stage * 8, End: stage*8 + 8,
			}
		}
	}
	return all
}

// TestTables applies the lines of each table in order, and compares the result
// of each and the final configuration.
func TestTables(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := quicktest.New(t)
			table, err := txtar.ParseFile(file)
			c.Assert(err, quicktest.IsNil)
			got, final := runLines(c, string(table.Files[0].Data))
			if *update {
				table.Files = []txtar.File{
					table.Files[0], {Name: "want", Data: []byte(got)}, {Name: "config", Data: []byte(final)},
				}
				c.Assert(os.WriteFile(file, txtar.Format(table), 0o644), quicktest.IsNil)
				return
			}
			c.Assert(got, quicktest.Equals, string(table.Files[1].Data))
			c.Assert(final, quicktest.Equals, string(table.Files[2].Data))
		})
	}
}

func runLines(c *quicktest.C, lines string) (got, final string) {
	var out strings.Builder
	config := (*conf.Config)(nil).Clone()
	for line := range strings.Lines(lines) {
		line = strings.TrimSuffix(line, "\n")
		fmt.Fprintf(&out, "> %s\n", line)
		parsed, err := lang.Parse(line)
		if err == nil {
			var next *conf.Config
			next, err = parsed.Apply(config, lang.Environment{Hosts: hosts(), Now: now, MaxDeadline: 30 * time.Second})
			if err == nil {
				config = next
				fmt.Fprintf(&out, "%s\n", parsed.Resource())
				continue
			}
		}
		var langErr *lang.Error
		c.Assert(errors.As(err, &langErr), quicktest.IsTrue)
		fmt.Fprintf(&out, "%s^\n%s\n", strings.Repeat(" ", langErr.Column+1), langErr.Message)
	}
	value, err := json.MarshalIndent(config, "", " ")
	c.Assert(err, quicktest.IsNil)
	return out.String(), string(value) + "\n"
}

// FuzzLine checks that no line causes a panic, that every error points into the
// line or just past it, and that a configuration is never modified in place.
func FuzzLine(f *testing.F) {
	for _, seed := range []string{
		"create pool lake model lotus layers 24 servers a1 a2 a3", "stop server a1 at 22:00",
		"route service assist team cantata to pool lake", "change service booking within 5s",
		"delete rule service assist", "remove server a1 from pool lake anyway", "show timeline request e1-3", "créate",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		before := baseConfig(t)
		encoded, err := before.Encode()
		quicktest.Assert(t, err, quicktest.IsNil)
		line, err := lang.Parse(text)
		var next *conf.Config
		if err == nil {
			next, err = line.Apply(before, lang.Environment{Hosts: hosts(), Now: now})
		}
		after, _ := before.Encode()
		quicktest.Assert(t, string(after), quicktest.Equals, string(encoded))
		var langErr *lang.Error
		if errors.As(err, &langErr) {
			quicktest.Assert(t, langErr.Column >= 0 && langErr.Column <= len([]rune(text))+1, quicktest.IsTrue)
			return
		}
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, next.Revision, quicktest.Equals, before.Revision+1)
	})
}

func baseConfig(t *testing.T) *conf.Config {
	config := (*conf.Config)(nil).Clone()
	for _, text := range []string{
		"create service assist model lotus", "create service booking path /booking repeat no",
		"create pool lake model lotus layers 24 servers a1 a2 a3 b1 b2 b3", "create pool books servers p1 p2",
		"route service assist to pool lake",
	} {
		line, err := lang.Parse(text)
		quicktest.Assert(t, err, quicktest.IsNil)
		config, err = line.Apply(config, lang.Environment{Hosts: hosts(), Now: now})
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	return config
}
