package edge

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
)

// FuzzParse checks that any body is either rejected, as not run and with the wrong
// field named, or yields a request within its bounds.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		`{"service":"assist","prompt":"p","max":4}`, `{"service":`, `[]`, `null`, `{"max":1e9}`, `{} {}`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, e := parseRequest(body)
		if e != nil {
			qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
			qt.Assert(t, e.Field, qt.Not(qt.Equals), "")
			return
		}
		qt.Assert(t, req.Service != "" && req.Prompt != "", qt.IsTrue)
		qt.Assert(t, req.Max >= 1 && req.Max <= maxTokens, qt.IsTrue)
	})
}
