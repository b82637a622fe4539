package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/soak"
)

// build compiles fsplat and returns the path of the binary.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "fsplat")
	out, err := exec.Command("go", "build", "-C", "../platform", "-o", program, "./cmd/fsplat").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}

// Overlapping crashes, pauses, restarts and link, store and server failures may
// fail requests, but must never lead to a wrong or truncated answer that looks
// complete, nor to a payment that runs twice or after it was refused.
func TestSeeds(t *testing.T) {
	program := build(t)
	for _, seed := range []uint64{1, 7} {
		runSeed(t, soak.Settings{Seed: seed, FaultDuration: 5 * time.Second, EntryHosts: 3, Callers: 8, Program: program})
	}
}

// Identical requests of all callers must not be blocked as poisoned when three
// links and servers fail within a minute: each request in flight on one of them
// counted as a cause of the failure, so all callers were refused for a minute.
func TestFailuresDoNotBlockIdenticalRequests(t *testing.T) {
	runSeed(t, soak.Settings{Seed: 131, FaultDuration: 10 * time.Second, EntryHosts: 4, Callers: 16, Program: build(t)})
}

func runSeed(t *testing.T, s soak.Settings) {
	s.Dir = t.TempDir()
	report, err := soak.Run(s)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, report.Violations, qt.HasLen, 0, qt.Commentf("seed %d: %v", s.Seed, report.Faults))
	qt.Check(t, report.Succeeded > 0, qt.IsTrue)
}
