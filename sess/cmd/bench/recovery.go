package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

// blow is a failure that the bench brings about while streams run.
type blow struct {
	name string
	// victim is the engine that fails.
	victim string
	// fault returns fsload's fault without its time.
	fault func(w *procs.World, r *rig, victim string) (string, error)
	// lost are the engines that the pool has less afterwards.
	lost []string
}

// The load of the recovery rig: streams of 4 s whose tokens come every 20 ms.
const (
	streamTokens = "200"
	streamRate   = "8"
	blowAt       = 5 * time.Second
	streamEnd    = 10 * time.Second
)

func (b *bench) recovery() error {
	blows := []blow{
		{"kill first stage", "e0-1", signalled("KILL"), []string{"e0-1"}},
		{"kill last stage", "e2-1", signalled("KILL"), []string{"e2-1"}},
		{"freeze", "e1-1", signalled("STOP"), []string{"e1-1"}},
		{"freeze first stage", "e0-1", signalled("STOP"), []string{"e0-1"}},
		{"link cut", "e0-2", cut, nil},
		{"no fault", "", nil, nil},
	}
	fmt.Printf("%-20s %7s %8s %8s %8s %6s %6s %10s\n",
		"failure", "streams", "next p50", "next p95", "next max", "cut", "wrong", "back ms")
	worst := map[string]float64{}
	for _, blow := range blows {
		p95, err := b.blow(blow)
		if err != nil {
			return err
		}
		kind, _, _ := strings.Cut(blow.name, " ")
		worst[kind] = max(worst[kind], p95)
	}
	b.note("recovery-kill-p95-ms", worst["kill"])
	b.note("recovery-freeze-p95-ms", worst["freeze"])
	return nil
}

// blow runs streams on a rig of its own, strikes, and prints what became of
// them. It returns the 95th percentile of the time to the next token of the
// streams that the victim carried.
func (b *bench) blow(blow blow) (p95 float64, err error) {
	err = b.in(func(w *procs.World) error {
		r := even()
		if err := r.start(w, "cantata"); err != nil {
			return err
		}
		hosts, err := entries(w, "entry")
		if err != nil {
			return err
		}
		p95, err = b.strike(w, r, hosts, blow)
		return err
	})
	return p95, err
}

func (b *bench) strike(w *procs.World, r *rig, hosts []string, blow blow) (float64, error) {
	args := []string{
		"-rate", streamRate, "-tokens", streamTokens, "-duration", streamEnd.String(), "-warm", warm.String(),
	}
	if blow.fault != nil {
		text, err := blow.fault(w, r, blow.victim)
		if err != nil {
			return 0, err
		}
		args = append(args, "-fault", fmt.Sprintf("%s %s", blowAt, text))
	}
	report, err := b.load(w, strings.ReplaceAll(blow.name, " ", "-"), hosts, args...)
	if err != nil {
		return 0, err
	}
	resumed, err := sum(w, hosts, "relay.resumed")
	if err != nil {
		return 0, err
	}
	next := carried(report, resumed)
	p95 := quantile(next, 0.95)
	bad := report.Failed + report.Lost
	fmt.Printf("%-20s %7d %8.1f %8.1f %8.1f %6d %6d %10.0f\n", blow.name, resumed,
		quantile(next, 0.5), p95, quantile(next, 1), bad, report.Wrong, back(report, r.bound(blow.lost...)))
	return p95, nil
}

// signalled sends a signal to the victim's process.
func signalled(name string) func(*procs.World, *rig, string) (string, error) {
	return func(w *procs.World, _ *rig, victim string) (string, error) {
		p, err := w.Get(victim)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("pid:%d %s", p.PID(), name), nil
	}
}

// cut cuts all links from the victim to the next stage.
func cut(w *procs.World, r *rig, victim string) (string, error) {
	p, err := w.Get(victim)
	if err != nil {
		return "", err
	}
	var links []string
	for _, e := range r.engines {
		if e.stage == 1 {
			links = append(links, e.name+"=cut")
		}
	}
	return fmt.Sprintf("%s link %s", p.At["control"], strings.Join(links, ",")), nil
}

// carried returns the times to the next token of the streams that the victim
// carried. The streams that resumed on another chain are known by number
// only; they are taken to be those that waited longest.
func carried(r *report, resumed int) []float64 {
	if len(r.Faults) == 0 {
		return nil
	}
	next := r.Faults[0].NextMs
	return next[max(0, len(next)-resumed):]
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// back returns how long after the fault goodput was, for half a second, at
// 95% of what it was before or of what remains, whichever is less.
func back(r *report, remains float64) float64 {
	if len(r.Faults) == 0 {
		return 0
	}
	const window, enough = 5, 0.95
	at := int(r.Faults[0].AtMs / r.TickMs)
	first := int(float64(warm.Milliseconds()) / r.TickMs)
	want := enough * min(mean(r.Series[first:at]), remains*r.TickMs/1000)
	for i := at; i+window < len(r.Series); i++ {
		if mean(r.Series[i:i+window]) >= want {
			return max(0, r.Series[i].AtMs-r.Faults[0].AtMs)
		}
	}
	return float64(time.Hour.Milliseconds())
}

func mean(rows []row) float64 {
	total := 0
	for _, r := range rows {
		total += r.Tokens
	}
	return float64(total) / float64(max(len(rows), 1))
}

// sum adds up a counter of the metrics pages of entry hosts.
func sum(w *procs.World, hosts []string, counter string) (int, error) {
	total := 0
	for _, name := range hosts {
		p, err := w.Get(name)
		if err != nil {
			return 0, err
		}
		page, err := metricsOf(p.At["ops"])
		if err != nil {
			return 0, err
		}
		total += int(page[counter]["count"].asNumber())
	}
	return total, nil
}

// value is one value of a metrics page: a number, or a text that is no use
// here.
type value struct{ json.RawMessage }

func (v value) asNumber() float64 {
	return number(string(slices.Clone(v.RawMessage)))
}

func metricsOf(address string) (map[string]map[string]value, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	page := map[string]map[string]value{}
	return page, json.Unmarshal(text, &page)
}
