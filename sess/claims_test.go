package sess

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"syscall"

	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/team"
	"fuchsiashelf.dev/sess/procs"
)

// init adds the commands for calls that must not be repeated.
func init() {
	maps.Copy(commands, claimCommands)
}

var claimCommands = map[string]scriptFunc{
	// ran TEAM/ID...: prints how often each call ran on all plain services.
	"ran": command("ran", func(s *session, args []string) (string, error) { return s.executions(args) }),
	// release NAME KIND: disables one fault and releases what it held.
	"release": command("release", func(s *session, args []string) (string, error) {
		_, err := s.Control(args[0], "DELETE", "/fault?kind="+args[1], nil)
		return "", err
	}),
	// verdict JOB: waits for a call and prints only its status and verdict.
	"verdict": command("verdict", func(s *session, args []string) (string, error) {
		j := s.jobs[args[0]]
		if j == nil {
			return "", fmt.Errorf("no job %s", args[0])
		}
		<-j.done
		words := strings.Fields(j.out)
		return strings.Join(words[:min(2, len(words))], " ") + "\n", j.err
	}),
	// ticket LABEL ENTRY TEAM: requests a ticket; "call" accepts @LABEL as its
	// ID.
	"ticket": command("ticket", func(s *session, args []string) (string, error) { return "", s.requestTicket(args[0], args[1], args[2]) }),
	// claimfault KIND TEAM/ID: enables a fault of the store that affects the
	// next write of the shard that contains the claim of the call. Outcomes of
	// earlier calls are written asynchronously, but to other shards, and so do
	// not trigger the fault.
	"claimfault": command("claimfault", func(s *session, args []string) (string, error) {
		team, id, _ := strings.Cut(args[1], "/")
		return "", s.InjectFault(procs.StoreName, args[0], claim.ObjectKey(claim.KeyOf(team, id).Shard()), 1)
	}),
	// limit TEAM RATE BURST: changes the quota of a team.
	"limit": command("limit", func(s *session, args []string) (string, error) { return "", s.setQuota(args[0], args[1], args[2]) }),
	// big ENTRY TEAM METHOD URI ID BYTES: sends a call with a body of that
	// length and prints status, verdict and code.
	"big": command("big", func(s *session, args []string) (string, error) {
		var n int
		if _, err := fmt.Sscan(args[5], &n); err != nil {
			return "", err
		}
		reply, err := s.Call(args[0], args[1], args[2], args[3], args[4], strings.Repeat("x", n))
		if err != nil {
			return "connection lost\n", nil
		}
		var p procs.ErrorBody
		_ = json.Unmarshal([]byte(reply.Body), &p)
		return fmt.Sprintf("%d %s %s\n", reply.Status, reply.Verdict, p.Code), nil
	}),
}

// executions adds up the counts of all running plain services.
func (s *session) executions(keys []string) (string, error) {
	counts := map[string]int{}
	for _, p := range s.All() {
		if len(p.Args) == 0 || p.Args[0] != "plain" || p.Signal(syscall.Signal(0)) != nil {
			continue
		}
		text, err := s.Control(p.Name, "GET", "/counts", nil)
		if err != nil {
			return "", err
		}
		var executed map[string]int
		if err := json.Unmarshal([]byte(text), &executed); err != nil {
			return "", err
		}
		for key, n := range executed {
			counts[key] += n
		}
	}
	var out strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&out, "%s %d\n", s.resolveTicket(key), counts[s.resolveTicket(key)])
	}
	return out.String(), nil
}

// resolveTicket replaces the label in an ID such as @seat or team/@seat by the
// ticket.
func (s *session) resolveTicket(text string) string {
	before, label, found := strings.Cut(text, "@")
	if !found {
		return text
	}
	return before + s.tickets[label]
}

// requestTicket requests a ticket and stores it under a label.
func (s *session) requestTicket(label, entry, team string) error {
	reply, err := s.Call(entry, team, http.MethodPost, "/v1/tickets", "", "")
	if err != nil {
		return err
	}
	var got struct{ Ticket string }
	if err := json.Unmarshal([]byte(reply.Body), &got); err != nil || got.Ticket == "" {
		return fmt.Errorf("no ticket: %d %s", reply.Status, reply.Body)
	}
	if s.tickets == nil {
		s.tickets = map[string]string{}
	}
	s.tickets[label] = got.Ticket
	return nil
}

// setQuota writes the quota of a team to the store's list of teams, as an
// operator of the platform does.
func (s *session) setQuota(name, rate, burst string) error {
	p, err := s.Get(procs.StoreName)
	if err != nil {
		return err
	}
	client := &store.Client{Address: p.Addresses["serve"]}
	o, err := client.Get(context.Background(), conf.TeamsKey)
	if err != nil {
		return err
	}
	var directory team.Directory
	if err := json.Unmarshal(o.Value, &directory); err != nil {
		return err
	}
	for i := range directory.Teams {
		if directory.Teams[i].Name == name {
			if _, err := fmt.Sscan(rate+" "+burst, &directory.Teams[i].Quota.Rate, &directory.Teams[i].Quota.Burst); err != nil {
				return err
			}
		}
	}
	value, err := json.Marshal(directory)
	if err != nil {
		return err
	}
	_, err = client.Put(context.Background(), conf.TeamsKey, value, o.Version)
	return err
}
