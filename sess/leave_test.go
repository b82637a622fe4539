package sess

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiashelf.dev/parts/fault"
)

// leaveCommands are the commands for servers that are leaving and for planned
// stops.
var leaveCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	// spread ENTRY,... N: sends N model requests through each entry host
	// concurrently, and prints the outcomes that are not whole.
	"spread": command("spread", func(s *session, args []string) (string, error) {
		return s.burst(strings.Split(args[0], ","), args[1])
	}),
	// mark SERVER...: records how many requests each server has received.
	"mark": command("mark", func(s *session, args []string) (string, error) {
		s.markedCounts = map[string]int{}
		for _, name := range args {
			n, err := s.requestCount(name)
			if err != nil {
				return "", err
			}
			s.markedCounts[name] = n
		}
		return "", nil
	}),
	// since SERVER...: prints how many requests each server has received since
	// mark.
	"since": command("since", func(s *session, args []string) (string, error) {
		out := ""
		for _, name := range args {
			n, err := s.requestCount(name)
			if err != nil {
				return "", err
			}
			out += fmt.Sprintf("%s %d\n", name, n-s.markedCounts[name])
		}
		return out, nil
	}),
	// idle ENGINE: prints how many requests the engine is running now.
	"idle": command("idle", func(s *session, args []string) (string, error) {
		page, err := s.Control(args[0], "GET", "/counts", nil)
		if err != nil {
			return "", err
		}
		var counts struct {
			InFlight int `json:"inFlight"`
		}
		err = json.Unmarshal([]byte(page), &counts)
		return fmt.Sprintf("%d in flight\n", counts.InFlight), err
	}),
	// flow JOB ENTRY,... WIDTH MAX: keeps WIDTH streams open through each entry
	// host until endflow JOB, which prints the outcomes that are not whole.
	"flow": command("flow", func(s *session, args []string) (string, error) { return "", s.startStreamGroup(args) }),
	"endflow": command("endflow", func(s *session, args []string) (string, error) {
		g := s.streamGroups[args[0]]
		close(g.stop)
		g.running.Wait()
		return g.outcome(), nil
	}),
	// endbegun JOB: like endflow, but requests that were refused and have not run are left out.
	"endbegun": command("endbegun", func(s *session, args []string) (string, error) {
		g := s.streamGroups[args[0]]
		close(g.stop)
		g.running.Wait()
		g.bad = slices.DeleteFunc(g.bad, func(outcome string) bool { return strings.HasSuffix(outcome, " "+fault.NotRun.String()) })
		return g.outcome(), nil
	}),
}

// requestCount returns how many requests an engine has received, including the
// refused ones, or how many calls a plain service has received.
func (s *session) requestCount(name string) (int, error) {
	page, err := s.Control(name, "GET", "/counts", nil)
	if err != nil {
		return 0, err
	}
	var engine struct{ Taken, Refused *int }
	if err := json.Unmarshal([]byte(page), &engine); err == nil && engine.Taken != nil && engine.Refused != nil {
		return *engine.Taken + *engine.Refused, nil
	}
	var calls map[string]int
	if err := json.Unmarshal([]byte(page), &calls); err != nil {
		return 0, err
	}
	sum := 0
	for _, n := range calls {
		sum += n
	}
	return sum, nil
}

// streamGroup runs streams concurrently and collects their outcomes.
type streamGroup struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu    sync.Mutex
	whole int
	bad   []string
}

func (g *streamGroup) add(outcome string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if strings.HasPrefix(outcome, "whole") {
		g.whole++
		return
	}
	g.bad = append(g.bad, outcome)
}

// outcome returns the distinct outcomes that are not whole. It omits the number of
// requests, which depends on the speed of the machine.
func (g *streamGroup) outcome() string {
	if g.whole == 0 {
		return "nothing was whole\n"
	}
	if len(g.bad) == 0 {
		return "all whole\n"
	}
	slices.Sort(g.bad)
	return strings.Join(slices.Compact(g.bad), "\n") + "\n"
}

// burst sends a number of model requests through each entry host concurrently.
func (s *session) burst(entries []string, each string) (string, error) {
	var n int
	if _, err := fmt.Sscan(each, &n); err != nil {
		return "", err
	}
	g := &streamGroup{}
	for _, entry := range entries {
		for i := range n {
			g.running.Go(func() { g.add(s.sendStream(entry, fmt.Sprintf("lantern %d", i), 4)) })
		}
	}
	g.running.Wait()
	return g.outcome(), nil
}

// sendStream sends one model request and returns its outcome.
func (s *session) sendStream(entry, prompt string, maxTokens int) string {
	resp, err := s.Generate(entry, defaultTeam, "assist", prompt, maxTokens)
	if err != nil {
		return "connection lost"
	}
	return resp.Check(prompt, clusterLayers, maxTokens)
}

// startStreamGroup starts the streams of the command flow.
func (s *session) startStreamGroup(args []string) error {
	var count, maxTokens int
	if _, err := fmt.Sscan(args[2]+" "+args[3], &count, &maxTokens); err != nil {
		return err
	}
	g := &streamGroup{stop: make(chan struct{})}
	if s.streamGroups == nil {
		s.streamGroups = map[string]*streamGroup{}
	}
	s.streamGroups[args[0]] = g
	for _, entry := range strings.Split(args[1], ",") {
		for i := range count {
			g.running.Go(func() {
				for n := 0; !g.stopped(); n++ {
					g.add(s.sendStream(entry, fmt.Sprintf("pot %d of %d", n, i), maxTokens))
				}
			})
		}
	}
	return nil
}

func (g *streamGroup) stopped() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}
