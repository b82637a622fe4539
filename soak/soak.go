// Package soak runs the real program as separate processes in front of a fake
// platform, injects seeded random faults from outside, and checks the system's
// guarantees from what callers and backend servers observe.
//
// During the faults it checks that a response that ends without an error is
// complete and belongs to the request, that a payment runs at most once, that a
// refused payment has not run, and that each chain runs every layer once and in
// order. After the last fault it checks that all entry hosts recover, that
// revoked keys are refused, and that a planned stop interrupts no request.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

// Settings configures a run. Seed, FaultDuration, EntryHosts, Callers, Program
// and Dir are required.
type Settings struct {
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Series makes series of restarts, configurations and rate limits that overlap with the
	// faults. Restores makes some of them restores of the store from an older copy.
	Series, Restores bool
	// Limits checks after the faults that the rate limits of servers are kept.
	Limits bool
	// Notices makes servers request pauses and say that they leave, in the series and after
	// the faults, and checks that entry hosts keep to it.
	Notices bool
	// Cuts cuts entry hosts off from all backend servers, in the series and after the
	// faults, and checks that they serve their callers.
	Cuts bool
	// Crashes makes parts of prompts crash servers that begin to answer requests with them, in
	// the series and after the faults, and checks that they are blocked and that requests that
	// share their other parts are served.
	Crashes bool
	// Silences makes one, many or all servers of a service silent, beside the faults, after
	// them and in the planned stop, and checks that no entry host ends an answer in progress for
	// that.
	Silences bool
	// Teams configures a second team and a second streaming route of a less urgent priority. Crowds
	// of callers of the second team come in the series and after the faults, and the run checks that
	// the first team's requests are served beside them.
	Teams bool
	// Leavers makes some callers leave before their answer is whole, and checks that no server works on
	// for them.
	Leavers bool
	// Floods makes servers answer with bytes without end, in the series.
	Floods bool
	// Obstacles puts obstacles in the way of processes, in the series.
	Obstacles bool
	// EntryHosts and Callers are the numbers of entry hosts and callers.
	EntryHosts, Callers int
	// Program is the path of the fsplat binary.
	Program string
	// Dir is the directory for settings files and logs.
	Dir string
	// OnStart, if not nil, is called with each process that the run starts.
	OnStart func(*os.Process)
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Requests counts all requests, Succeeded those with a successful response.
	Requests, Succeeded int
	// Faults describes the injected faults, each with its time since the start.
	Faults []string
	// Violations describes the guarantees that were broken.
	Violations []string
}

// run is the state of one run.
type run struct {
	Settings
	rand    *rand.Rand
	cluster *cluster
	start   time.Time

	// activeFaults counts the faults that have not ended.
	activeFaults sync.WaitGroup

	mu     sync.Mutex
	report Report
	// refusedPayments holds the IDs of payments whose status says that they did
	// not run.
	refusedPayments map[string]bool
	requestCount    int
}

// Run runs the soak with one seed and returns what it found. Violations are
// reported, not returned as an error.
func Run(s Settings) (Report, error) {
	r := &run{
		Settings: s, rand: rand.New(rand.NewPCG(s.Seed, s.Seed)), start: time.Now(),
		report: Report{Seed: s.Seed}, refusedPayments: map[string]bool{},
	}
	c, err := newCluster(s)
	if err != nil {
		return r.report, err
	}
	r.cluster = c
	defer func() { _ = c.close() }()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.Callers {
		seed := s.Seed + uint64(i) + 1
		callers.Go(func() { r.runCaller(rand.New(rand.NewPCG(seed, 0)), stop) })
	}
	err = r.injectFaults()
	close(stop)
	callers.Wait()
	if err != nil {
		return r.report, err
	}
	r.checkRecovery()
	r.checkExecutions()
	r.checkExits()
	return r.report, nil
}

// checkExits checks that no process has ended by itself.
func (r *run) checkExits() {
	r.cluster.mu.Lock()
	exits := r.cluster.exits
	r.cluster.mu.Unlock()
	for _, exit := range exits {
		r.addViolation("%s", exit)
	}
}

// addFault adds a fault, with the time since the start, to the report.
func (r *run) addFault(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%s %s", time.Since(r.start).Round(time.Millisecond), description))
}

// addViolation adds a broken guarantee to the report.
func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

// newID returns a request ID that is unique in the run, starts with kind and identifies
// the entry host e.
func (r *run) newID(kind string, e int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestCount++
	return fakes.RequestID(fmt.Sprintf("%s-%d", kind, r.requestCount), r.cluster.entries[e].host())
}

// The largest number of events of a caller's stream: without silences, and with them, where
// streams last longer than a silence.
const (
	shortStream = 40
	longStream  = 240
)

// runCaller sends requests of all kinds through random entry hosts until stop is
// closed.
func (r *run) runCaller(rng *rand.Rand, stop chan struct{}) {
	events := shortStream
	if r.Silences {
		events = longStream
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
		e := rng.IntN(r.EntryHosts)
		switch rng.IntN(4) {
		case 0:
			r.sendPayment(e)
		case 1:
			r.sendLookup(e)
		case 2:
			if r.Leavers {
				r.sendAndLeave(e, rng)
				continue
			}
			r.sendStream(e, 1+rng.IntN(events))
		default:
			r.sendStream(e, 1+rng.IntN(events))
		}
	}
}

// countRequest adds one request to the report.
func (r *run) countRequest(succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if succeeded {
		r.report.Succeeded++
	}
}

// sendPayment sends a request that may run at most once, and checks its response.
// It reports whether the request succeeded.
func (r *run) sendPayment(e int) bool {
	id := r.newID("pay", e)
	resp := r.send(e, id, "/pay/1", currentKey, 0)
	ok := resp.status == 200 && resp.err == nil
	r.countRequest(ok)
	if ok && resp.body != fmt.Sprintf("POST /pay/1 4 bytes for %s\n", id) {
		r.addViolation("%s: got %q", id, resp.body)
	}
	switch resp.status {
	case 503, 429, 408, 421:
		r.mu.Lock()
		r.refusedPayments[id] = true
		r.mu.Unlock()
	}
	return ok
}

// sendLookup sends a request that may be retried, and checks its response. It
// reports whether the request succeeded.
func (r *run) sendLookup(e int) bool {
	id := r.newID("look", e)
	resp := r.send(e, id, "/look/1", currentKey, 0)
	ok := resp.status == 200 && resp.err == nil
	r.countRequest(ok)
	if ok && resp.body != fmt.Sprintf("POST /look/1 4 bytes for %s\n", id) {
		r.addViolation("%s: got %q", id, resp.body)
	}
	return ok
}

// sendStream sends a streaming request, and checks its response. It reports
// whether the request succeeded.
func (r *run) sendStream(e, events int) bool {
	if r.Crashes {
		return r.sendPrompt(e, events, sharedPart, r.newID("own", e))
	}
	return r.sendPrompt(e, events)
}

// sendPrompt is sendStream for a prompt with the given parts only.
func (r *run) sendPrompt(e, events int, parts ...string) bool {
	return r.sendOn(r.newID("ask", e), e, "/ask/1", currentKey, events, parts...)
}

// sendOn sends a streaming request on a path, with a key, and checks its response. It reports
// whether the request succeeded.
func (r *run) sendOn(id string, e int, path, key string, events int, parts ...string) bool {
	resp := r.send(e, id, path, key, events, parts...)
	ok := resp.status == 200 && resp.err == nil
	r.countRequest(ok)
	if ok && resp.body != fakes.StreamBody(id, events) {
		r.addViolation("%s: requested %d events, got %q", id, events, resp.body)
	}
	return ok
}

// recoveryTimeout limits the time until the system serves all requests after the
// last fault.
const recoveryTimeout = 15 * time.Second

// checkRecovery ends all faults, checks that every entry host serves all kinds
// of requests, and then checks a revoked key and a planned stop.
func (r *run) checkRecovery() {
	r.cluster.clearFaults()
	r.awaitRecovery()
	r.checkRevokedKey()
	if r.Limits {
		r.checkRateLimit()
	}
	if r.Notices {
		r.checkNotices()
	}
	if r.Cuts {
		r.checkCuts()
	}
	if r.Silences {
		r.checkSilences()
		r.awaitRecovery()
	}
	if r.Crashes {
		r.checkCrashes()
		r.awaitRecovery()
	}
	if r.Leavers {
		r.checkLeavers()
	}
	if r.Teams {
		r.checkTeams()
		r.awaitRecovery()
	}
	r.checkPlannedStop()
}

// awaitRecovery waits until every entry host serves all kinds of requests.
func (r *run) awaitRecovery() {
	for e := range r.EntryHosts {
		served := false
		for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline) && !served; {
			served = r.sendStream(e, 5) && r.sendLookup(e) && r.sendPayment(e)
		}
		if !served {
			r.addViolation("entry host %d has not recovered", e)
		}
	}
}

// checkRevokedKey revokes a key and checks that every entry host refuses it. With
// Restores it restores the store before, so that its revision is lower than those that
// the entry hosts know.
func (r *run) checkRevokedKey() {
	if r.Restores {
		copied := r.cluster.platform.Store.Copy()
		r.changeConfig()
		r.cluster.platform.Store.Restore(copied)
	}
	if err := r.cluster.configure(currentKey); err != nil {
		r.addViolation("%v", err)
		return
	}
	for e := range r.EntryHosts {
		refused := false
		for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline) && !refused; {
			refused = r.cluster.send(e, r.newID("old", e), "/look/1", oldKey, 0).status == 401
		}
		if !refused {
			r.addViolation("entry host %d accepts a revoked key", e)
		}
	}
}

// checkPlannedStop checks that the first entry host completes a stream in
// flight when it is shut down, and answers every payment that it passes on until its
// process has ended, also on connections that callers have kept.
func (r *run) checkPlannedStop() {
	const events = 60
	id := r.newID("ask", 0)
	done := make(chan reply, 1)
	go func() { done <- r.cluster.send(0, id, "/ask/1", currentKey, events) }()
	ended := make(chan struct{})
	unanswered := make(chan []string, 1)
	go func() { unanswered <- r.sendPaymentsUntil(ended) }()
	time.Sleep(150 * time.Millisecond)
	if r.Silences {
		silence(r.cluster.serversOf("assist"), maxSilence)
	}
	r.cluster.entries[0].shutDown()
	close(ended)
	if resp := <-done; resp.err != nil || resp.body != fakes.StreamBody(id, events) {
		r.addViolation("%s: interrupted by a planned stop: %d %v", id, resp.status, resp.err)
	}
	executed := map[string]bool{}
	for _, execution := range r.cluster.platform.Executions() {
		executed[execution.Request] = true
	}
	for _, id := range <-unanswered {
		if executed[id] {
			r.addViolation("%s: ran and was not answered in a planned stop", id)
		}
	}
}

// sendPaymentsUntil sends payments through the first entry host, on connections that are
// kept, until the channel is closed. It returns those that got no answer.
func (r *run) sendPaymentsUntil(ended chan struct{}) (unanswered []string) {
	for {
		select {
		case <-ended:
			return unanswered
		case <-time.After(paymentInterval):
		}
		id := r.newID("pay", 0)
		if resp := r.cluster.send(0, id, "/pay/1", currentKey, 0); resp.err != nil {
			unanswered = append(unanswered, id)
		}
	}
}

const (
	// paymentInterval is the interval between the payments during a planned stop, and
	// lookupInterval that between the lookups through each entry host while servers name
	// rate limits.
	paymentInterval = 10 * time.Millisecond
	lookupInterval  = 50 * time.Millisecond
	// rateLimitTime is how long these servers are observed.
	rateLimitTime = 8 * time.Second
)

// checkRateLimit lets all servers of a service name rate limits and sends more requests
// than that through all entry hosts. A server records a violation if it gets too many.
func (r *run) checkRateLimit() {
	for _, s := range r.cluster.serversOf("booking") {
		s.NameLimit(namedLimit)
		defer s.EndLimit()
	}
	var callers sync.WaitGroup
	for e := range r.EntryHosts {
		callers.Go(func() {
			for start := time.Now(); time.Since(start) < rateLimitTime; time.Sleep(lookupInterval) {
				r.sendLookup(e)
			}
		})
	}
	callers.Wait()
}

// checkExecutions checks that the backend servers ran no payment twice or after
// it was refused, and adds the violations that they recorded.
func (r *run) checkExecutions() {
	executions := map[string]int{}
	for _, execution := range r.cluster.platform.Executions() {
		executions[execution.Request]++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range executions {
		if len(id) > 4 && id[:4] == "pay-" && n > 1 {
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("%s ran %d times", id, n))
		}
		if r.refusedPayments[id] {
			r.report.Violations = append(r.report.Violations, id+" was refused but ran")
		}
	}
	r.report.Violations = append(r.report.Violations, r.cluster.platform.Violations()...)
}
