package reqlog_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/reqlog"
)

const firstLog = `{"time":"2026-12-03T10:00:00.5Z","level":"INFO","msg":"store: lost","node":"e1","error":"silent"}
{"time":"2026-12-03T10:00:01Z","level":"INFO","msg":"stream: tried again","node":"e1","request":"r1","server":"i-1","chain":"i-1=0-4 i-2=4-8"}
{"time":"2026-12-03T10:00:01.2Z","level":"WARN","msg":"servers: suspected","node":"e1","server":"i-2","address":"a:2"}
{"time":"2026-12-03T10:00:01.3Z","level":"WARN","msg":"servers: suspected","node":"e1","server":"i-9","address":"a:9"}
{"time":"2026-12-03T10:00:02Z","level":"INFO","msg":"request: ended","node":"e1","request":"r2","server":"i-1"}
{"time":"2026-12-03T10:00:09Z","level":"INFO","msg":"servers: gone","node":"e1","server":"i-2"}
panic: this is no JSON
`

const secondLog = `{"time":"2026-12-03T10:00:01.1Z","level":"INFO","msg":"request: ended","node":"e2","request":"r1","status":200}
{"time":"2026-12-03T10:00:01.05Z","level":"INFO","msg":"servers: gone","node":"e3","server":"i-2"}
`

// Guards against hiding the cause of a failure: the failure of a server in the
// middle of the request's chain is logged without the request's ID, among many
// unrelated lines of the same seconds.
func TestFind(t *testing.T) {
	found, err := reqlog.Find("r1", reqlog.Source{Name: "one", From: strings.NewReader(firstLog)}, reqlog.Source{Name: "two", From: strings.NewReader(secondLog)})
	qt.Assert(t, err, qt.IsNil)
	var lines []string
	for _, e := range found {
		lines = append(lines, e.String())
	}
	qt.Assert(t, lines, qt.DeepEquals, []string{
		"  10:00:00.500000 e1 store: lost error=silent",
		"* 10:00:01.000000 e1 stream: tried again chain=i-1=0-4 i-2=4-8 server=i-1",
		"* 10:00:01.100000 e2 request: ended status=200",
		"  10:00:01.200000 e1 servers: suspected address=a:2 server=i-2",
	})
}

func TestUnknownRequest(t *testing.T) {
	found, err := reqlog.Find("r9", reqlog.Source{Name: "one", From: strings.NewReader(firstLog)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found, qt.HasLen, 0)
}

// Guards against losing all entries when a line of one source exceeds the
// maximum length. The entries of the others are still returned, and the error
// names the source.
func TestUnreadableSourceIsNamed(t *testing.T) {
	found, err := reqlog.Find("r1",
		reqlog.Source{Name: "broken.log", From: strings.NewReader(strings.Repeat("x", 2<<20))},
		reqlog.Source{Name: "two", From: strings.NewReader(secondLog)})
	qt.Assert(t, err, qt.ErrorMatches, "broken.log: .*too long")
	qt.Assert(t, found, qt.HasLen, 1)
}

func FuzzFind(f *testing.F) {
	f.Add(firstLog)
	f.Add(secondLog)
	f.Fuzz(func(t *testing.T, text string) {
		found, _ := reqlog.Find("r1", reqlog.Source{Name: "log", From: strings.NewReader(text)})
		for i := 1; i < len(found); i++ {
			if found[i].At.Before(found[i-1].At) {
				t.Fatal("entries are not ordered by time")
			}
		}
	})
}
