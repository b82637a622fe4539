package main

import (
	"fmt"
	"strings"

	"fuchsiashelf.dev/sess/procs"
)

// Settings of the fairness benchmark. All teams have the same share, and the
// last one, the loud team, sends loudFactor times its share. As long as it sends
// only its share, all teams together offer fairLoad of the capacity.
const (
	fairTeams  = 10
	fairLoad   = 0.8
	loudFactor = 10
)

// measureFairness measures how a team that sends ten times its share affects the
// nine other teams.
func (b *bench) measureFairness() error {
	return b.withCluster(func(cluster *procs.Cluster) error {
		tb := mixedTestbed(0)
		var teams []string
		for i := range fairTeams {
			teams = append(teams, fmt.Sprintf("t%d", i))
		}
		if err := tb.start(cluster, teams...); err != nil {
			return err
		}
		entryHosts, err := startEntryHosts(cluster, "fair")
		if err != nil {
			return err
		}
		fmt.Printf("%-10s %9s %10s %10s %9s %9s %12s %9s\n", "loud team",
			"tokens/s", "first p95", "loud p95", "refused", "loud ref", "refusal p99", "late p99")
		var quietP95s []float64
		for _, factor := range []int{1, loudFactor} {
			p95, err := b.measureFairLoad(cluster, tb, entryHosts, teams, factor)
			if err != nil {
				return err
			}
			quietP95s = append(quietP95s, p95)
		}
		b.addResult("fair-first-p95-ratio", quietP95s[1]/quietP95s[0])
		return nil
	})
}

// measureFairLoad runs one load, in which the last team sends factor times its
// share. It returns the mean over the other teams of the 95th percentile of the
// time to the first token.
func (b *bench) measureFairLoad(cluster *procs.Cluster, tb *testbed, entryHosts, teams []string, factor int) (float64, error) {
	loud := teams[len(teams)-1]
	share := fairLoad * tb.capacity() / sizeMean / fairTeams
	report, err := b.runLoad(cluster, fmt.Sprintf("fair-%d", factor), entryHosts,
		"-teams", fmt.Sprintf("%s:%d", strings.Join(teams, ","), factor),
		"-rate", fmt.Sprintf("%.3f", share*float64(len(teams)-1+factor)), "-tokens", sizes,
		"-duration", (b.measureTime + warmup).String(), "-warm", warmup.String(), "-drain", drainTimeout.String())
	if err != nil {
		return 0, err
	}
	p95, refused := 0.0, 0
	for name, s := range report.Teams {
		if name != loud {
			p95 += s.First.P95 / float64(len(teams)-1)
			refused += s.Refused
		}
	}
	loudSummary := report.Teams[loud]
	fmt.Printf("%-10s %9.0f %10.1f %10.1f %9d %9d %12.2f %9.2f\n", fmt.Sprintf("x%d", factor),
		report.TokensPerSecond, p95, loudSummary.First.P95, refused, loudSummary.Refused, report.Refusal.P99, report.Late.P99)
	for name, s := range report.Teams {
		if name != loud && s.Refused > 0 {
			fmt.Printf("  team %s: %v\n", name, s.Codes)
		}
	}
	return p95, nil
}
