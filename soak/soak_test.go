package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/soak"
)

// build builds the program as it is run.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "fsplat")
	out, err := exec.Command("go", "build", "-C", "../platform", "-o", program, "./cmd/fsplat").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

// Entry hosts are killed, paused and stopped, links and the object API fail,
// servers crash, all in series and at once. Callers must not notice more than
// that some requests fail: never a wrong or half answer that looks whole, never
// a payment that runs twice or after it was refused.
func TestSeeds(t *testing.T) {
	program := build(t)
	for _, seed := range []uint64{1, 7} {
		report, err := soak.Run(soak.Settings{
			Seed: seed, For: 5 * time.Second, Entries: 3, Callers: 8, Program: program, Dir: t.TempDir(),
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, report.Broken, qt.HasLen, 0, qt.Commentf("seed %d: %v", seed, report.Faults))
		qt.Check(t, report.Served > 0, qt.IsTrue)
	}
}
