package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/sess/procs"
)

// bench sends commands and polls the revisions that the entry hosts have in
// force.
type bench struct {
	*procs.Cluster
	lines        int
	serviceCount int
}

// pollInterval is the pause between two polls of an entry host, and thus the
// resolution of the results.
const pollInterval = 2 * time.Millisecond

// revisionTimeout limits the wait for a revision.
const revisionTimeout = 30 * time.Second

// send runs a command through the first entry host until it has taken effect.
func (b *bench) send(line string) error {
	var output string
	err := procs.WaitFor(line, func() bool {
		output, _ = b.RunDesk("e1", line)
		return strings.Contains(output, "\ndone") || strings.Contains(output, "\npartly")
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return nil
}

// nextLine returns a command that does not conflict with any earlier one.
func (b *bench) nextLine() string {
	b.serviceCount++
	return fmt.Sprintf("create service s%d path /s%d", b.serviceCount, b.serviceCount)
}

// measureLines sends commands in sequence and returns for each the time until
// the last entry host had it in force. The time includes the start of fsdesk.
func (b *bench) measureLines() ([]time.Duration, error) {
	var durations []time.Duration
	for range b.lines {
		before, err := b.revision("e1")
		if err != nil {
			return nil, err
		}
		start := time.Now()
		sent := make(chan error, 1)
		go func() { sent <- b.send(b.nextLine()) }()
		if err := b.waitForRevision(before + 1); err != nil {
			return nil, err
		}
		durations = append(durations, time.Since(start))
		if err := <-sent; err != nil {
			return nil, err
		}
	}
	return durations, nil
}

// measureStoreDown makes the store fail after it has stored a command and before
// it responds, and measures the time from then on.
func (b *bench) measureStoreDown() ([]time.Duration, error) {
	var durations []time.Duration
	for i := range max(1, b.lines/4) {
		before, err := b.revision("e1")
		if err != nil {
			return nil, err
		}
		if err := b.InjectFault(procs.StoreName, "hold", "config/desk", 0); err != nil {
			return nil, err
		}
		sent := make(chan error, 1)
		go func() { sent <- b.send(b.nextLine()) }()
		err = procs.WaitFor("held", func() bool {
			counts, _ := b.Control(procs.StoreName, "GET", "/counts", nil)
			return strings.Contains(counts, fmt.Sprintf(`"held":%d`, i+1))
		})
		if err != nil {
			return nil, err
		}
		start := time.Now()
		if err := b.InjectFault(procs.StoreName, "outage", "", 0); err != nil {
			return nil, err
		}
		if err := b.waitForRevision(before + 1); err != nil {
			return nil, err
		}
		durations = append(durations, time.Since(start))
		if err := <-sent; err != nil {
			return nil, err
		}
		if err := b.ClearFaults(procs.StoreName); err != nil {
			return nil, err
		}
		time.Sleep(settleTime)
	}
	return durations, nil
}

// measureLeaving marks a server in the host list as leaving, measures the time
// until all entry hosts have excluded it, and marks it as live again.
func (b *bench) measureLeaving() ([]time.Duration, error) {
	var durations []time.Duration
	for range max(1, b.lines/4) {
		start := time.Now()
		if err := b.SetHost("p2", "a", host.Leaving); err != nil {
			return nil, err
		}
		for _, name := range entries {
			err := procs.WaitFor(name+" excludes p2", func() bool {
				output, _ := b.RunDesk(name, "show servers")
				return strings.Contains(output, "pools [books] host-leaving") || strings.Contains(output, "pools [books] peer-word")
			})
			if err != nil {
				return nil, err
			}
		}
		durations = append(durations, time.Since(start))
		if err := b.SetHost("p2", "a", host.Live); err != nil {
			return nil, err
		}
		time.Sleep(settleTime)
	}
	return durations, nil
}

// waitForRevision waits until all entry hosts have a revision in force.
func (b *bench) waitForRevision(revision int64) error {
	deadline := time.Now().Add(revisionTimeout)
	for _, name := range entries {
		for {
			n, err := b.revision(name)
			if err != nil {
				return err
			}
			if n >= revision {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s has revision %d, want %d", name, n, revision)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// revision returns the revision that an entry host has in force.
func (b *bench) revision(name string) (int64, error) {
	p, err := b.Get(name)
	if err != nil {
		return 0, err
	}
	page, err := procs.Fetch("http://" + p.Addresses["ops"] + "/metrics")
	if err != nil {
		return 0, err
	}
	var metrics map[string]struct{ Value float64 }
	err = json.Unmarshal([]byte(page), &metrics)
	return int64(metrics["watch.revision"].Value), err
}

// printTimes prints the median and the maximum of durations.
func printTimes(name string, durations []time.Duration) {
	if len(durations) == 0 {
		return
	}
	slices.Sort(durations)
	fmt.Printf("%s-p50-ms %.0f\n", name, durations[len(durations)/2].Seconds()*1000)
	fmt.Printf("%s-max-ms %.0f\n", name, durations[len(durations)-1].Seconds()*1000)
}
