package soak_test

import (
	"io/fs"
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

// Guards against wrong or truncated responses that look complete, and against
// payments that run twice or after they were refused, while crashes, pauses,
// restarts and failures of links, store and servers overlap.
func TestSeeds(t *testing.T) {
	program := build(t)
	for _, seed := range []uint64{1, 7} {
		runSeed(t, soak.Settings{Seed: seed, FaultDuration: 5 * time.Second, EntryHosts: 3, Callers: 8, Program: program})
	}
}

// Guards against the same while restarts, configurations, rate limits, restores of the
// store, requested pauses and servers that say that they leave come in series that overlap
// with the failures.
func TestSeries(t *testing.T) {
	runSeed(t, soak.Settings{
		Seed: 3, FaultDuration: 6 * time.Second, Series: true, Restores: true, Limits: true, Notices: true, EntryHosts: 4, Callers: 8, Program: build(t),
	})
}

// Guards against blocking the identical requests of all callers as poisoned for a
// minute when three links and servers fail within a minute. Each request in
// flight on one of them counts as a possible cause of the failure.
func TestFailuresDoNotBlockIdenticalRequests(t *testing.T) {
	runSeed(t, soak.Settings{Seed: 131, FaultDuration: 10 * time.Second, EntryHosts: 4, Callers: 16, Program: build(t)})
}

// Guards against entry hosts that refuse their callers while they are cut off from all
// servers and others are not.
func TestCuts(t *testing.T) {
	runSeed(t, soak.Settings{Seed: 5, FaultDuration: 5 * time.Second, Series: true, Cuts: true, EntryHosts: 4, Callers: 8, Program: build(t)})
}

// Guards against a panic in place of the reason for which no process was started.
func TestRunReportsWhyNoHostStarts(t *testing.T) {
	_, err := soak.Run(soak.Settings{Seed: 1, EntryHosts: 1, Dir: filepath.Join(t.TempDir(), "missing"), Program: "fsplat"})
	qt.Assert(t, err, qt.ErrorIs, fs.ErrNotExist)
}

func runSeed(t *testing.T, s soak.Settings) {
	s.Dir = t.TempDir()
	report, err := soak.Run(s)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, report.Violations, qt.HasLen, 0, qt.Commentf("seed %d: %v", s.Seed, report.Faults))
	qt.Check(t, report.Succeeded > 0, qt.IsTrue)
}

// Guards against parts of prompts that crash one server after the other, and against blocking
// requests that share their other parts.
func TestCrashes(t *testing.T) {
	runSeed(t, soak.Settings{Seed: 9, FaultDuration: 4 * time.Second, Series: true, Crashes: true, EntryHosts: 4, Callers: 8, Program: build(t)})
}

// Guards against a team that is refused because another team sends more requests, and is back at
// once after each refusal.
func TestTeams(t *testing.T) {
	runSeed(t, soak.Settings{Seed: 31, FaultDuration: 4 * time.Second, Series: true, Teams: true, EntryHosts: 4, Callers: 8, Program: build(t)})
}

// Guards against answers in progress that entry hosts end because servers are silent.
func TestSilences(t *testing.T) {
	runSeed(t, soak.Settings{Seed: 2, FaultDuration: 5 * time.Second, Series: true, Silences: true, EntryHosts: 4, Callers: 8, Program: build(t)})
}

// Guards against work for callers that have left, and against servers that send bytes without end,
// while hosts are restarted and configurations change.
func TestLeavers(t *testing.T) {
	runSeed(t, soak.Settings{Seed: 4, FaultDuration: 5 * time.Second, Series: true, Leavers: true, Floods: true, EntryHosts: 4, Callers: 8, Program: build(t)})
}

// Guards against a host that sends on what it reads late, although the callers have left meanwhile.
func TestPausedHostSendsNothingForThoseThatLeft(t *testing.T) {
	sent, err := soak.PausedHost(soak.Settings{Seed: 1, EntryHosts: 1, Program: build(t), Dir: t.TempDir()}, 60)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, sent, qt.HasLen, 0)
}

// Guards against processes that end, or do not start, because of what a machine, an operator or another
// writer does.
func TestObstacles(t *testing.T) {
	program := build(t)
	for _, o := range soak.Obstacles {
		t.Run(o.String(), func(t *testing.T) {
			t.Parallel()
			exits, err := soak.Obstruct(soak.Settings{Seed: 1, EntryHosts: 2, Callers: 1, Program: program, Dir: t.TempDir()}, o)
			qt.Check(t, exits, qt.HasLen, 0)
			qt.Check(t, err, qt.IsNil)
		})
	}
}
