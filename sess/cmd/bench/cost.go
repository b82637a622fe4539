package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

// costs measures what a node costs: an idle entry host's processor time,
// memory and calls to the store with few and with more of them, and what a
// busy one spends on a request, a token and an open stream.
func (b *bench) costs() error {
	if err := b.idle(); err != nil {
		return err
	}
	if err := b.busy(); err != nil {
		return err
	}
	return b.open()
}

// open prints the memory that an open stream takes in an entry host. The
// engines are so slow that no stream ends meanwhile.
func (b *bench) open() error {
	return b.in(func(w *procs.Cluster) error {
		r := even()
		for i := range r.engines {
			r.engines[i].step, r.engines[i].atOnce = 300*time.Millisecond, 100
		}
		if err := r.start(w, "cantata"); err != nil {
			return err
		}
		if err := w.StartEntry("open", "a"); err != nil {
			return err
		}
		if err := w.Ready("open"); err != nil {
			return err
		}
		p, err := w.Get("open")
		if err != nil {
			return err
		}
		before := resident(p.PID())
		done := make(chan error, 1)
		go func() {
			_, err := b.load(w, "open", []string{"open"}, "-tokens", "100", "-rate", "100",
				"-duration", "6s", "-warm", "0s", "-drain", "1s")
			done <- err
		}()
		time.Sleep(5 * time.Second)
		page, err := metricsOf(p.Addresses["ops"])
		if err != nil {
			return err
		}
		streams, now := page["gate.open"]["count"].asNumber(), resident(p.PID())
		fmt.Printf("%.0f streams open: %.1f MB before, %.1f MB now, %.0f KB a stream\n",
			streams, before, now, (now-before)*1000/max(streams, 1))
		return <-done
	})
}

// idleSpan is how long idle entry hosts are measured.
const idleSpan = 10 * time.Second

// idle prints what each of n idle entry hosts costs.
func (b *bench) idle() error {
	fmt.Printf("%-8s %12s %12s %12s\n", "entries", "core %", "MB resident", "store calls/s")
	for _, n := range []int{1, 4, 16} {
		err := b.in(func(w *procs.Cluster) error {
			if err := even().start(w, "cantata"); err != nil {
				return err
			}
			for i := range n - 1 {
				if err := w.StartEntry(fmt.Sprintf("entry-%d", i), domains[i%len(domains)]); err != nil {
					return err
				}
			}
			time.Sleep(warm)
			return idleOf(w, n)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func idleOf(w *procs.Cluster, n int) error {
	before, err := storeCalls(w)
	if err != nil {
		return err
	}
	use := measure(w)
	time.Sleep(idleSpan)
	entry, _, _ := use.since()
	after, err := storeCalls(w)
	if err != nil {
		return err
	}
	memory := 0.0
	for _, p := range w.All() {
		if p.Program == "fsentry" {
			memory += resident(p.PID())
		}
	}
	each := float64(n)
	fmt.Printf("%-8d %12.2f %12.1f %12.2f\n", n, entry*100/each, memory/each,
		float64(after-before)/idleSpan.Seconds()/each)
	return nil
}

// storeCalls returns how many calls the store has had.
func storeCalls(w *procs.Cluster) (int, error) {
	text, err := w.Control(procs.StoreName, "GET", "/counts", nil)
	if err != nil {
		return 0, err
	}
	var page map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &page); err != nil {
		return 0, err
	}
	return total(page), nil
}

// total adds up all numbers of a page of counts, one level deep.
func total(page map[string]json.RawMessage) int {
	sum := 0
	for _, raw := range page {
		var n int
		if json.Unmarshal(raw, &n) == nil {
			sum += n
		}
	}
	return sum
}

// resident returns a process's resident memory in MB.
func resident(pid int) float64 {
	value, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	words := strings.Fields(string(value))
	const pages = 1
	if len(words) <= pages {
		return 0
	}
	n, _ := strconv.Atoi(words[pages])
	return float64(n*os.Getpagesize()) / 1e6
}

// busy prints what requests, tokens and open streams cost one entry host. Two
// loads with the same tokens a second in answers of different length give the
// two slopes.
func (b *bench) busy() error {
	return b.in(func(w *procs.Cluster) error {
		r := even()
		if err := r.start(w, "cantata"); err != nil {
			return err
		}
		if err := w.StartEntry("busy", "a"); err != nil {
			return err
		}
		if err := w.Ready("busy"); err != nil {
			return err
		}
		short, err := b.spent(w, "8", "150")
		if err != nil {
			return err
		}
		long, err := b.spent(w, "200", "6")
		if err != nil {
			return err
		}
		short.print("short answers")
		long.print("long answers")
		// cores = requests*a + tokens*b for both loads.
		det := short.requests*long.tokens - long.requests*short.tokens
		request := (short.cores*long.tokens - long.cores*short.tokens) / det
		token := (short.requests*long.cores - long.requests*short.cores) / det
		fmt.Printf("entry: %.0f us a request, %.0f us a token, %.0f tokens/s a core\n",
			request*1e6, token*1e6, 1/token)
		return nil
	})
}

// spending is what one load cost the entry host.
type spending struct{ requests, tokens, cores, memory, open float64 }

func (s *spending) print(what string) {
	fmt.Printf("%-14s %6.1f requests/s %7.0f tokens/s %6.3f cores %6.1f MB, about %.0f streams open\n",
		what, s.requests, s.tokens, s.cores, s.memory, s.open)
}

func (b *bench) spent(w *procs.Cluster, size, rate string) (*spending, error) {
	p, err := w.Get("busy")
	if err != nil {
		return nil, err
	}
	before, at := cpuSeconds(p.PID()), time.Now()
	report, err := b.load(w, "cost-"+size, []string{"busy"}, "-tokens", size, "-rate", rate,
		"-duration", b.cell.String(), "-warm", "0s")
	if err != nil {
		return nil, err
	}
	span := time.Since(at).Seconds()
	tokens, _ := strconv.ParseFloat(size, 64)
	whole := float64(report.Whole)
	return &spending{
		requests: whole / span, tokens: whole * tokens / span,
		cores: (cpuSeconds(p.PID()) - before) / span, memory: resident(p.PID()),
		open: whole / span * tokens * report.Gap.P50 / 1000,
	}, nil
}
