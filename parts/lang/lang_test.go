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

var update = flag.Bool("update", false, "rewrite the tables")

// now is the time of every line of the tables.
var now = time.Date(2026, 12, 3, 21, 30, 0, 0, time.UTC)

// hosts are three engines of each domain that hold 0-8, 8-16 and 16-24, one
// of another model, two plain services, an entry host and a leaving engine.
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
		for _, in := range []string{"a", "b"} {
			name := fmt.Sprintf("%s%d", in, stage+1)
			all[name] = host.Host{
				Name: name, Role: host.Engine, State: host.Live,
				Model: "lotus", First: stage * 8, End: stage*8 + 8,
			}
		}
	}
	return all
}

// TestTables runs the lines of each table one after the other and compares
// what each did, and the configuration at the end.
func TestTables(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := quicktest.New(t)
			table, err := txtar.ParseFile(file)
			c.Assert(err, quicktest.IsNil)
			got, end := runLines(c, string(table.Files[0].Data))
			if *update {
				table.Files = []txtar.File{
					table.Files[0], {Name: "want", Data: []byte(got)}, {Name: "config", Data: []byte(end)},
				}
				c.Assert(os.WriteFile(file, txtar.Format(table), 0o644), quicktest.IsNil)
				return
			}
			c.Assert(got, quicktest.Equals, string(table.Files[1].Data))
			c.Assert(end, quicktest.Equals, string(table.Files[2].Data))
		})
	}
}

func runLines(c *quicktest.C, lines string) (got, end string) {
	var out strings.Builder
	at := (*conf.Config)(nil).Clone()
	for line := range strings.Lines(lines) {
		line = strings.TrimSuffix(line, "\n")
		fmt.Fprintf(&out, "> %s\n", line)
		parsed, err := lang.Parse(line)
		if err == nil {
			var next *conf.Config
			next, err = parsed.Apply(at, lang.Environment{Hosts: hosts(), Now: now, MaxDeadline: 30 * time.Second})
			if err == nil {
				at = next
				fmt.Fprintf(&out, "%s\n", parsed.Resource())
				continue
			}
		}
		var fault *lang.Error
		c.Assert(errors.As(err, &fault), quicktest.IsTrue)
		fmt.Fprintf(&out, "%s^\n%s\n", strings.Repeat(" ", fault.Column+1), fault.Message)
	}
	value, err := json.MarshalIndent(at, "", " ")
	c.Assert(err, quicktest.IsNil)
	return out.String(), string(value) + "\n"
}

// FuzzLine checks that no line panics, that every fault points into the line
// or just behind it, and that a configuration is never changed in place.
func FuzzLine(f *testing.F) {
	for _, seed := range []string{
		"create pool lake model lotus layers 24 servers a1 a2 a3", "stop server a1 at 22:00",
		"route service assist team cantata to pool lake", "change service booking within 5s",
		"delete rule service assist", "remove server a1 from pool lake anyway", "show timeline request e1-3", "créate",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		before := base(t)
		image, err := before.Encode()
		quicktest.Assert(t, err, quicktest.IsNil)
		line, err := lang.Parse(text)
		var next *conf.Config
		if err == nil {
			next, err = line.Apply(before, lang.Environment{Hosts: hosts(), Now: now})
		}
		after, _ := before.Encode()
		quicktest.Assert(t, string(after), quicktest.Equals, string(image))
		var fault *lang.Error
		if errors.As(err, &fault) {
			quicktest.Assert(t, fault.Column >= 0 && fault.Column <= len([]rune(text))+1, quicktest.IsTrue)
			return
		}
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, next.Revision, quicktest.Equals, before.Revision+1)
	})
}

func base(t *testing.T) *conf.Config {
	at := (*conf.Config)(nil).Clone()
	for _, text := range []string{
		"create service assist model lotus", "create service booking path /booking repeat no",
		"create pool lake model lotus layers 24 servers a1 a2 a3 b1 b2 b3", "create pool books servers p1 p2",
		"route service assist to pool lake",
	} {
		line, err := lang.Parse(text)
		quicktest.Assert(t, err, quicktest.IsNil)
		at, err = line.Apply(at, lang.Environment{Hosts: hosts(), Now: now})
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	return at
}
