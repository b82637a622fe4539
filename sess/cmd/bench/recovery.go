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
	// victims are the processes that fail.
	victims []string
	// fault returns fsload's fault of one victim without its time.
	fault func(w *procs.Cluster, r *rig, victim string) (string, error)
	// lost are the engines that the pool has less afterwards.
	lost []string
	// callers is the share of callers whose entry host is lost. fsload goes
	// on sending to it, as the platform's balancer does until it notices.
	callers float64
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
		engineLost("kill first stage", "e0-1", "KILL"),
		engineLost("kill last stage", "e2-1", "KILL"),
		engineLost("freeze", "e1-1", "STOP"),
		engineLost("freeze first stage", "e0-1", "STOP"),
		{name: "link cut", victims: []string{"e0-2"}, fault: cut},
		{name: "no fault"},
	}
	worst, err := b.blows(blows)
	if err != nil {
		return err
	}
	b.note("recovery-kill-p95-ms", worst["kill"])
	b.note("recovery-freeze-p95-ms", worst["freeze"])
	return nil
}

// losses measures the loss of what is more than one engine.
func (b *bench) losses() error {
	second := []string{"e0-1", "e1-1", "e2-1"}
	_, err := b.blows([]blow{
		{name: "store down", victims: []string{procs.StoreName}, fault: outage},
		{name: "entry killed", victims: []string{"entry-1"}, fault: signalled("KILL"), callers: 0.25},
		{
			name: "domain killed", victims: append([]string{"entry-1", "entry-3"}, second...),
			fault: signalled("KILL"), lost: second, callers: 0.5,
		},
	})
	return err
}

func engineLost(name, victim, signal string) blow {
	return blow{name: name, victims: []string{victim}, fault: signalled(signal), lost: []string{victim}}
}

// blows measures one blow after the other. It returns the worst p95 of the
// time to the next token by the first word of the blows' names.
func (b *bench) blows(blows []blow) (map[string]float64, error) {
	fmt.Printf("%-20s %7s %8s %8s %8s %6s %6s %10s\n",
		"failure", "streams", "next p50", "next p95", "next max", "cut", "wrong", "back ms")
	worst := map[string]float64{}
	for _, blow := range blows {
		p95, err := b.blow(blow)
		if err != nil {
			return nil, err
		}
		kind, _, _ := strings.Cut(blow.name, " ")
		worst[kind] = max(worst[kind], p95)
	}
	return worst, nil
}

// blow runs streams on a rig of its own, strikes, and prints what became of
// them. It returns the 95th percentile of the time to the next token of the
// streams that the victim carried.
func (b *bench) blow(blow blow) (p95 float64, err error) {
	err = b.in(func(w *procs.Cluster) error {
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

func (b *bench) strike(w *procs.Cluster, r *rig, hosts []string, blow blow) (float64, error) {
	args := []string{
		"-rate", streamRate, "-tokens", streamTokens, "-duration", streamEnd.String(), "-warm", warm.String(),
	}
	for _, victim := range blow.victims {
		text, err := blow.fault(w, r, victim)
		if err != nil {
			return 0, err
		}
		args = append(args, "-fault", fmt.Sprintf("%s %s", blowAt, text))
	}
	report, err := b.load(w, strings.ReplaceAll(blow.name, " ", "-"), hosts, args...)
	if err != nil {
		return 0, err
	}
	left := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return contains(blow.victims, h) })
	resumed, err := sum(w, left, "relay.resumed")
	if err != nil {
		return 0, err
	}
	next := carried(report, resumed)
	p95 := quantile(next, 0.95)
	bad := report.Failed + report.Lost
	fmt.Printf("%-20s %7d %8.1f %8.1f %8.1f %6d %6d %10.0f\n", blow.name, resumed,
		quantile(next, 0.5), p95, quantile(next, 1), bad, report.Wrong, back(report, r.bound(blow.lost...), 1-blow.callers))
	return p95, nil
}

// signalled sends a signal to the victim's process.
func signalled(name string) func(*procs.Cluster, *rig, string) (string, error) {
	return func(w *procs.Cluster, _ *rig, victim string) (string, error) {
		p, err := w.Get(victim)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("pid:%d %s", p.PID(), name), nil
	}
}

// outage takes the victim, the platform's store, down.
func outage(w *procs.Cluster, _ *rig, victim string) (string, error) {
	p, err := w.Get(victim)
	if err != nil {
		return "", err
	}
	return p.Addresses["control"] + " outage", nil
}

// cut cuts all links from the victim to the next stage.
func cut(w *procs.Cluster, r *rig, victim string) (string, error) {
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
	return fmt.Sprintf("%s link %s", p.Addresses["control"], strings.Join(links, ",")), nil
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
// 95% of what it was before, for the share of callers that still has an entry
// host, or of what remains, whichever is less.
func back(r *report, remains, callers float64) float64 {
	if len(r.Faults) == 0 {
		return 0
	}
	const window, enough = 5, 0.95
	at := int(r.Faults[0].AtMs / r.TickMs)
	first := int(float64(warm.Milliseconds()) / r.TickMs)
	want := enough * min(callers*mean(r.Series[first:at]), remains*r.TickMs/1000)
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
func sum(w *procs.Cluster, hosts []string, counter string) (int, error) {
	total := 0
	for _, name := range hosts {
		p, err := w.Get(name)
		if err != nil {
			return 0, err
		}
		page, err := metricsOf(p.Addresses["ops"])
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
