package sess

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// leaveCommands are the commands of sessions about servers that leave and
// stops.
var leaveCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	// spread ENTRY,... N: sends N model requests through each entry host, all at
	// once, and prints what is not whole.
	"spread": command("spread", func(s *session, a []string) (string, error) {
		return s.spread(strings.Split(a[0], ","), a[1])
	}),
	// mark SERVER...: remembers how many requests each has taken.
	"mark": command("mark", func(s *session, a []string) (string, error) {
		s.marks = map[string]int{}
		for _, name := range a {
			n, err := s.taken(name)
			if err != nil {
				return "", err
			}
			s.marks[name] = n
		}
		return "", nil
	}),
	// since SERVER...: prints how many requests each has taken since mark.
	"since": command("since", func(s *session, a []string) (string, error) {
		out := ""
		for _, name := range a {
			n, err := s.taken(name)
			if err != nil {
				return "", err
			}
			out += fmt.Sprintf("%s %d\n", name, n-s.marks[name])
		}
		return out, nil
	}),
	// idle ENGINE: prints how many requests it runs now.
	"idle": command("idle", func(s *session, a []string) (string, error) {
		page, err := s.Control(a[0], "GET", "/counts", nil)
		if err != nil {
			return "", err
		}
		var counts struct {
			InFlight int `json:"inFlight"`
		}
		err = json.Unmarshal([]byte(page), &counts)
		return fmt.Sprintf("%d in flight\n", counts.InFlight), err
	}),
	// flow JOB ENTRY,... WIDTH MAX: keeps that many streams going through
	// each entry host until endflow JOB, which prints what was not whole.
	"flow": command("flow", func(s *session, a []string) (string, error) { return "", s.flow(a) }),
	"endflow": command("endflow", func(s *session, a []string) (string, error) {
		f := s.flows[a[0]]
		close(f.stop)
		f.all.Wait()
		return f.outcome(), nil
	}),
}

// taken returns how many requests have reached an engine, the refused ones
// included, or how many calls a plain service has taken.
func (s *session) taken(name string) (int, error) {
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

// flow is a set of streams that go on until it is stopped.
type flow struct {
	stop chan struct{}
	all  sync.WaitGroup

	mu    sync.Mutex
	whole int
	bad   []string
}

func (f *flow) add(outcome string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if strings.HasPrefix(outcome, "whole") {
		f.whole++
		return
	}
	f.bad = append(f.bad, outcome)
}

// outcome tells whether all was whole. The number of requests is left out: it
// depends on the machine.
func (f *flow) outcome() string {
	if f.whole == 0 {
		return "nothing was whole\n"
	}
	if len(f.bad) == 0 {
		return "all whole\n"
	}
	slices.Sort(f.bad)
	return strings.Join(slices.Compact(f.bad), "\n") + "\n"
}

func (s *session) spread(entries []string, each string) (string, error) {
	var n int
	if _, err := fmt.Sscan(each, &n); err != nil {
		return "", err
	}
	f := &flow{}
	for _, entry := range entries {
		for i := range n {
			f.all.Go(func() { f.add(s.stream(entry, fmt.Sprintf("lantern %d", i), 4)) })
		}
	}
	f.all.Wait()
	return f.outcome(), nil
}

// stream sends one model request and judges its answer.
func (s *session) stream(entry, prompt string, max int) string {
	answer, err := s.Generate(entry, townTeam, "assist", prompt, max)
	if err != nil {
		return "connection lost"
	}
	return answer.Check(prompt, townLayers, max)
}

func (s *session) flow(a []string) error {
	var width, max int
	if _, err := fmt.Sscan(a[2]+" "+a[3], &width, &max); err != nil {
		return err
	}
	f := &flow{stop: make(chan struct{})}
	if s.flows == nil {
		s.flows = map[string]*flow{}
	}
	s.flows[a[0]] = f
	for _, entry := range strings.Split(a[1], ",") {
		for i := range width {
			f.all.Go(func() {
				for n := 0; !f.stopped(); n++ {
					f.add(s.stream(entry, fmt.Sprintf("pot %d of %d", n, i), max))
				}
			})
		}
	}
	return nil
}

func (f *flow) stopped() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}
