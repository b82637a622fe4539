package sess

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// loadCommands are the commands that generate load.
var loadCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	// load ENTRY,... [flags]: runs fsload and prints the counts of all, whole,
	// refused and bad calls, which do not depend on the speed of the machine.
	"load": command("load", func(s *session, args []string) (string, error) { return s.runLoad(args) }),
	// flood ENTRY,... ENGINE,... [flags]: runs fsload above the capacity of the
	// pool, and compares the responses that callers got with the requests that
	// the first servers of the chains accepted.
	"flood": command("flood", func(s *session, args []string) (string, error) { return s.runOverload(args) }),
}

// loadReport is the part of the fsload report that sessions use.
type loadReport struct {
	Offered, Whole, Refused, Failed, Lost, Wrong, Skipped int
	Codes                                                 map[string]int
}

func (s *session) runLoad(args []string) (string, error) {
	r, err := s.fsload(args)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("offered %d whole %d refused %d bad %d\n",
		r.Offered, r.Whole, r.Refused, r.Failed+r.Lost+r.Wrong), nil
}

func (s *session) runOverload(args []string) (string, error) {
	// Each request has a distinct prompt, so that a request that is retried on
	// another chain counts once.
	r, err := s.fsload(append([]string{args[0], "-prompts", "1000000000"}, args[2:]...))
	if err != nil {
		return "", err
	}
	accepted := 0
	for name := range strings.SplitSeq(args[1], ",") {
		text, err := s.Control(name, "GET", "/counts", nil)
		if err != nil {
			return "", err
		}
		var counts struct{ Prompts map[string]int }
		if err := json.Unmarshal([]byte(text), &counts); err != nil {
			return "", err
		}
		accepted += len(counts.Prompts)
	}
	return fmt.Sprintf("some refused %t, all of them not-run %t, servers took the whole ones only %t, bad %d\n",
		r.Refused > 0, r.Codes["overloaded not-run"] == r.Refused, accepted == r.Whole,
		r.Failed+r.Lost+r.Wrong), nil
}

// fsload runs fsload against entry hosts.
func (s *session) fsload(args []string) (*loadReport, error) {
	file, err := s.Path("fsload")
	if err != nil {
		return nil, err
	}
	var entries []string
	for name := range strings.SplitSeq(args[0], ",") {
		p, err := s.Get(name)
		if err != nil {
			return nil, err
		}
		entries = append(entries, p.Addresses["callers"])
	}
	flags := append([]string{"-entries", strings.Join(entries, ","), "-o", "json", "-warm", "0s"}, args[1:]...)
	out, err := exec.Command(file, flags...).Output()
	if err != nil {
		return nil, err
	}
	var r loadReport
	if err := json.Unmarshal(out, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
