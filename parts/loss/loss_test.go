package loss_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"fuchsiashelf.dev/parts/loss"
	"fuchsiashelf.dev/parts/reqlog"
)

var update = flag.Bool("update", false, "rewrite the expected tables")

// Guards against counting requests under the wrong cause: a late first event,
// a pause of a given length, or a refused, truncated or failed request.
func TestClassify(t *testing.T) {
	const path = "testdata/day.txtar"
	archive, err := txtar.ParseFile(path)
	qt.Assert(t, err, qt.IsNil)
	entries, err := reqlog.Read(reqlog.Source{Name: "log", From: strings.NewReader(string(archive.Files[0].Data))})
	qt.Assert(t, err, qt.IsNil)
	got := loss.Classify(entries, 2*time.Second).String()
	if *update {
		archive.Files[1].Data = []byte(got)
		qt.Assert(t, os.WriteFile(path, txtar.Format(archive), 0o600), qt.IsNil)
	}
	qt.Assert(t, got, qt.Equals, string(archive.Files[1].Data))
}

func TestNoEntries(t *testing.T) {
	qt.Assert(t, loss.Classify(nil, time.Second).String(), qt.Contains, "pauses: 0")
}
