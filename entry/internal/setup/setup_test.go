package setup_test

import (
	"io"
	"testing"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/internal/setup"
)

// The error must list every invalid setting with its flag. Entry hosts are
// replaced by a script, which would otherwise need one run per error.
func TestParseInvalidSettings(t *testing.T) {
	c := quicktest.New(t)
	_, err := setup.Parse([]string{
		"-callers", "here", "-store", "there", "-max-body", "0", "-grace", "-1s",
		"-peer-secret", "same", "-desk-secret", "same", "-source", "nowhere",
	}, io.Discard)
	c.Assert(err, quicktest.IsNotNil)
	for _, want := range []string{
		"-name: missing", "-domain: missing", `-callers: "here" is not host:port`,
		`-store: "there" is not host:port`, "-max-body: 0 is not above 0", "-grace: -1s is not above 0",
		"-desk-secret: must differ from -peer-secret", `-source: "nowhere" is not an IP address`,
	} {
		c.Assert(err.Error(), quicktest.Contains, want)
	}
	// A secret must not appear in an error, since errors are logged.
	c.Assert(err.Error(), quicktest.Not(quicktest.Contains), "same")
}

func TestParseEnvironment(t *testing.T) {
	c := quicktest.New(t)
	for name, value := range map[string]string{
		"NAME": "e1", "DOMAIN": "pelotas", "STORE": "10.0.0.5:8080",
		"PEER_SECRET": "one", "DESK_SECRET": "two", "MAX_BODY": "5",
	} {
		c.Setenv("FSENTRY_"+name, value)
	}
	s, err := setup.Parse([]string{"-name", "e2"}, io.Discard)
	c.Assert(err, quicktest.IsNil)
	c.Assert([]any{s.Name, s.Domain, s.MaxBody}, quicktest.DeepEquals, []any{"e2", "pelotas", 5})
}
