package main

import (
	"fmt"
	"strings"

	"fuchsiashelf.dev/sess/procs"
)

// The teams of the fairness bench: all have the same share, and the last one
// is the one that sends more. Together they offer a part of the bound as long
// as it does not.
const (
	fairTeams = 10
	fairLoad  = 0.8
	loudTimes = 10
)

// fair measures what nine teams notice when a tenth sends ten times its
// share.
func (b *bench) fair() error {
	return b.in(func(w *procs.Cluster) error {
		r := mixed(0)
		var teams []string
		for i := range fairTeams {
			teams = append(teams, fmt.Sprintf("t%d", i))
		}
		if err := r.start(w, teams...); err != nil {
			return err
		}
		hosts, err := entries(w, "fair")
		if err != nil {
			return err
		}
		fmt.Printf("%-10s %9s %10s %10s %9s %9s %12s %9s\n", "loud team",
			"tokens/s", "first p95", "loud p95", "refused", "loud ref", "refusal p99", "late p99")
		var quiet []float64
		for _, times := range []int{1, loudTimes} {
			p95, err := b.fairRun(w, r, hosts, teams, times)
			if err != nil {
				return err
			}
			quiet = append(quiet, p95)
		}
		b.note("fair-first-p95-ratio", quiet[1]/quiet[0])
		return nil
	})
}

// fairRun runs one load and returns the mean over the quiet teams of the 95th
// percentile of their first token.
func (b *bench) fairRun(w *procs.Cluster, r *rig, hosts, teams []string, times int) (float64, error) {
	loud := teams[len(teams)-1]
	share := fairLoad * r.bound() / sizeMean / fairTeams
	report, err := b.load(w, fmt.Sprintf("fair-%d", times), hosts,
		"-teams", fmt.Sprintf("%s:%d", strings.Join(teams, ","), times),
		"-rate", fmt.Sprintf("%.3f", share*float64(len(teams)-1+times)), "-tokens", sizes,
		"-duration", (b.cell + warm).String(), "-warm", warm.String(), "-drain", drain.String())
	if err != nil {
		return 0, err
	}
	p95, refused := 0.0, 0
	for name, f := range report.Teams {
		if name != loud {
			p95 += f.First.P95 / float64(len(teams)-1)
			refused += f.Refused
		}
	}
	l := report.Teams[loud]
	fmt.Printf("%-10s %9.0f %10.1f %10.1f %9d %9d %12.2f %9.2f\n", fmt.Sprintf("x%d", times),
		report.TokensPerSecond, p95, l.First.P95, refused, l.Refused, report.Refusal.P99, report.Late.P99)
	for name, f := range report.Teams {
		if name != loud && f.Refused > 0 {
			fmt.Printf("  team %s: %v\n", name, f.Codes)
		}
	}
	return p95, nil
}
