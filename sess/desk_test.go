package sess

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/sess/procs"
)

// deskCommands are the commands for operators' scripts, the stored configuration
// and the metrics of entry hosts.
var deskCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	// script ENTRY FILE [flags]: sends the commands in a file.
	"script": command("script", func(s *session, args []string) (string, error) {
		return s.RunDesk(args[0], append([]string{"-f", filepath.Join(s.Dir, args[1])}, args[2:]...)...)
	}),
	// stored: prints the revision in the store.
	"stored": command("stored", func(s *session, _ []string) (string, error) { return s.storedRevision() }),
	// untilstored REVISION: waits until the store has this revision.
	"untilstored": quietCommand(func(s *session, args []string) (string, error) {
		return "", procs.WaitFor("store holds "+args[0], func() bool {
			out, _ := s.storedRevision()
			return out == "revision "+args[0]+"\n"
		})
	}),
	// backup copy|restore: copies the objects of the store, or restores the
	// copy.
	"backup": command("backup", func(s *session, args []string) (string, error) {
		_, err := s.Control(procs.StoreName, "POST", "/"+args[0], nil)
		return "", err
	}),
	// tally JOB...: waits for jobs of one command each and prints their outcomes
	// in sorted order, since it is not determined which job gets which.
	"tally": command("tally", func(s *session, args []string) (string, error) {
		var all []string
		for _, name := range args {
			j := s.jobs[name]
			<-j.done
			if j.err != nil {
				return "", j.err
			}
			lines := strings.Split(strings.TrimSpace(j.out), "\n")
			outcome, _, _ := strings.Cut(lines[len(lines)-1], ":")
			all = append(all, outcome)
		}
		slices.Sort(all)
		return strings.Join(all, "\n") + "\n", nil
	}),
	// rejoin ENTRY SEED...: starts an exited entry host again, with the given
	// entry hosts as its seeds.
	"rejoin": command("rejoin", func(s *session, args []string) (string, error) {
		var seeds []string
		for _, name := range args[1:] {
			p, err := s.Get(name)
			if err != nil {
				return "", err
			}
			seeds = append(seeds, p.Addresses["peers"])
		}
		_, err := s.Restart(args[0], "-seeds", strings.Join(seeds, ","))
		return "", err
	}),
	// inforce ENTRY...: prints the revision that each entry host has in force
	// now.
	"inforce": command("inforce", func(s *session, args []string) (string, error) {
		out := ""
		for _, name := range args {
			n, err := s.metric(name, "watch.revision")
			if err != nil {
				return "", err
			}
			out += fmt.Sprintf("%s %d\n", name, n)
		}
		return out, nil
	}),
	// watching ENTRY...: waits until the watches of the entry hosts are
	// connected.
	"watching": quietCommand(func(s *session, args []string) (string, error) {
		for _, name := range args {
			err := procs.WaitFor(name+" watches", func() bool {
				age, err := s.metric(name, "watch.age_ms")
				return err == nil && age == 0
			})
			if err != nil {
				return "", err
			}
		}
		return "", nil
	}),
	// metric ENTRY NAME: prints a counter or gauge of an entry host.
	"metric": command("metric", func(s *session, args []string) (string, error) {
		n, err := s.metric(args[0], args[1])
		return fmt.Sprintln(n), err
	}),
	// above ENTRY METRIC: waits until a counter of an entry host is above zero.
	"above": quietCommand(func(s *session, args []string) (string, error) {
		return "", procs.WaitFor(args[1]+" of "+args[0]+" above zero", func() bool {
			n, err := s.metric(args[0], args[1])
			return err == nil && n > 0
		})
	}),
}

// storedRevision returns the revision in the store.
func (s *session) storedRevision() (string, error) {
	p, err := s.Get(procs.StoreName)
	if err != nil {
		return "", err
	}
	value, err := procs.Fetch("http://" + p.Addresses["serve"] + "/v1/objects/" + conf.Key)
	if err != nil {
		return "", err
	}
	c, err := conf.Decode([]byte(value))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d\n", c.Revision), nil
}

// metric returns a counter or gauge of an entry host; zero if it does not
// exist.
func (s *session) metric(entry, name string) (int64, error) {
	p, err := s.Get(entry)
	if err != nil {
		return 0, err
	}
	page, err := procs.Fetch("http://" + p.Addresses["ops"] + "/metrics")
	if err != nil {
		return 0, err
	}
	var all map[string]struct{ Count, Value float64 }
	if err := json.Unmarshal([]byte(page), &all); err != nil {
		return 0, err
	}
	return int64(all[name].Count + all[name].Value), nil
}

// init adds the date format of answers to operators.
func init() {
	replacements = append(replacements, struct {
		pattern *regexp.Regexp
		with    string
	}{regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d`), "TIME"})
}
