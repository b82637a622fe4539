package edge

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
)

// FuzzParse checks that whatever a caller sends is either refused, as not run
// and with the faulty field named, or a request within its bounds.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"service":"assist","prompt":"p","max":4}`, `{"service":`, `[]`, `null`, `{"max":1e9}`, `{} {}`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		in, e := parse(body)
		if e != nil {
			qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
			qt.Assert(t, e.Field, qt.Not(qt.Equals), "")
			return
		}
		qt.Assert(t, in.Service != "" && in.Prompt != "", qt.IsTrue)
		qt.Assert(t, in.Max >= 1 && in.Max <= maxTokens, qt.IsTrue)
	})
}
