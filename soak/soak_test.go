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
		play(t, soak.Settings{Seed: seed, FaultDuration: 5 * time.Second, EntryHosts: 3, Callers: 8, Program: program})
	}
}

// Callers all send the same requests, and three links and servers fail within a
// minute. Each request that was on one of them counted as its cause, and since
// all looked alike, everybody was refused for a minute.
func TestSeedsThatFailed(t *testing.T) {
	play(t, soak.Settings{Seed: 131, FaultDuration: 10 * time.Second, EntryHosts: 4, Callers: 16, Program: build(t)})
}

func play(t *testing.T, s soak.Settings) {
	s.Dir = t.TempDir()
	report, err := soak.Run(s)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, report.Violations, qt.HasLen, 0, qt.Commentf("seed %d: %v", s.Seed, report.Faults))
	qt.Check(t, report.Succeeded > 0, qt.IsTrue)
}
