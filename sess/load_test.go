package sess

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// loadCommands are the commands of sessions that load the system.
var loadCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	// load ENTRY,... [flags]: runs fsload and prints what no machine's speed
	// changes: that every call was answered, and how many answers were bad.
	"load": command("load", func(s *session, a []string) (string, error) { return s.load(a) }),
}

// loadReport is the part of fsload's report that a session looks at.
type loadReport struct {
	Offered, Whole, Refused, Failed, Lost, Wrong, Skipped int
}

func (s *session) load(a []string) (string, error) {
	file, err := s.Path("fsload")
	if err != nil {
		return "", err
	}
	var entries []string
	for name := range strings.SplitSeq(a[0], ",") {
		p, err := s.Get(name)
		if err != nil {
			return "", err
		}
		entries = append(entries, p.At["callers"])
	}
	args := append([]string{"-entries", strings.Join(entries, ","), "-o", "json", "-warm", "0s"}, a[1:]...)
	out, err := exec.Command(file, args...).Output()
	if err != nil {
		return "", err
	}
	var r loadReport
	if err := json.Unmarshal(out, &r); err != nil {
		return "", err
	}
	return fmt.Sprintf("offered %d whole %d refused %d bad %d\n",
		r.Offered, r.Whole, r.Refused, r.Failed+r.Lost+r.Wrong), nil
}
