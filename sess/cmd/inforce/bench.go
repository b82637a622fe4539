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

// bench sends lines and watches what the entry hosts have in force.
type bench struct {
	*procs.Cluster
	lines  int
	serial int
}

// tick is the pause between two looks at an entry host. It bounds how fine the
// figures are.
const tick = 2 * time.Millisecond

// lookWait bounds one look.
const lookWait = 30 * time.Second

// send has the first entry host carry out a line.
func (b *bench) send(line string) error {
	var out string
	err := procs.WaitFor(line, func() bool {
		out, _ = b.RunDesk("e1", line)
		return strings.Contains(out, "\ndone") || strings.Contains(out, "\npartly")
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// next returns a line that no line before it clashes with.
func (b *bench) next() string {
	b.serial++
	return fmt.Sprintf("create service s%d path /s%d", b.serial, b.serial)
}

// measure sends lines one after the other and returns how long each took
// until the last entry host had it in force. The start of fsdesk is in it.
func (b *bench) measure() ([]time.Duration, error) {
	var took []time.Duration
	for range b.lines {
		before, err := b.revision("e1")
		if err != nil {
			return nil, err
		}
		began := time.Now()
		sent := make(chan error, 1)
		go func() { sent <- b.send(b.next()) }()
		if err := b.await(before + 1); err != nil {
			return nil, err
		}
		took = append(took, time.Since(began))
		if err := <-sent; err != nil {
			return nil, err
		}
	}
	return took, nil
}

// downAfter has the store go down once it has taken a line, before it
// answers, and measures from then on.
func (b *bench) downAfter() ([]time.Duration, error) {
	var took []time.Duration
	for i := range max(1, b.lines/4) {
		before, err := b.revision("e1")
		if err != nil {
			return nil, err
		}
		if err := b.InjectFault(procs.StoreName, "hold", "config/desk", 0); err != nil {
			return nil, err
		}
		sent := make(chan error, 1)
		go func() { sent <- b.send(b.next()) }()
		err = procs.WaitFor("held", func() bool {
			counts, _ := b.Control(procs.StoreName, "GET", "/counts", nil)
			return strings.Contains(counts, fmt.Sprintf(`"held":%d`, i+1))
		})
		if err != nil {
			return nil, err
		}
		began := time.Now()
		if err := b.InjectFault(procs.StoreName, "outage", "", 0); err != nil {
			return nil, err
		}
		if err := b.await(before + 1); err != nil {
			return nil, err
		}
		took = append(took, time.Since(began))
		if err := <-sent; err != nil {
			return nil, err
		}
		if err := b.ClearFaults(procs.StoreName); err != nil {
			return nil, err
		}
		time.Sleep(wellWait)
	}
	return took, nil
}

// leaving has the host list call a server leaving and live in turn.
func (b *bench) leaving() ([]time.Duration, error) {
	var took []time.Duration
	for range max(1, b.lines/4) {
		began := time.Now()
		if err := b.SetHost("p2", "a", host.Leaving); err != nil {
			return nil, err
		}
		for _, name := range entries {
			err := procs.WaitFor(name+" has p2 out", func() bool {
				out, _ := b.RunDesk(name, "show servers")
				return strings.Contains(out, "pools [books] host-leaving") || strings.Contains(out, "pools [books] peer-word")
			})
			if err != nil {
				return nil, err
			}
		}
		took = append(took, time.Since(began))
		if err := b.SetHost("p2", "a", host.Live); err != nil {
			return nil, err
		}
		time.Sleep(wellWait)
	}
	return took, nil
}

// await waits until all entry hosts have a revision in force.
func (b *bench) await(revision int64) error {
	end := time.Now().Add(lookWait)
	for _, name := range entries {
		for {
			n, err := b.revision(name)
			if err != nil {
				return err
			}
			if n >= revision {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s has revision %d, want %d", name, n, revision)
			}
			time.Sleep(tick)
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
	var all map[string]struct{ Value float64 }
	err = json.Unmarshal([]byte(page), &all)
	return int64(all["watch.revision"].Value), err
}

// print prints the median and the longest of some times.
func print(name string, took []time.Duration) {
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	fmt.Printf("%s-p50-ms %.0f\n", name, took[len(took)/2].Seconds()*1000)
	fmt.Printf("%s-max-ms %.0f\n", name, took[len(took)-1].Seconds()*1000)
}
