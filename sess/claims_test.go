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

// The commands of the sessions on calls that may not be repeated.
func init() {
	maps.Copy(commands, claimCommands)
}

var claimCommands = map[string]scriptFunc{
	// ran TEAM/ID...: prints how often each call ran on all plain services.
	"ran": command("ran", func(s *session, a []string) (string, error) { return s.ran(a) }),
	// release NAME KIND: switches one fault off and lets go what it held.
	"release": command("release", func(s *session, a []string) (string, error) {
		_, err := s.Control(a[0], "DELETE", "/fault?kind="+a[1], nil)
		return "", err
	}),
	// verdict JOB: waits for a call and prints its status and verdict only.
	"verdict": command("verdict", func(s *session, a []string) (string, error) {
		j := s.jobs[a[0]]
		if j == nil {
			return "", fmt.Errorf("no job %s", a[0])
		}
		<-j.done
		words := strings.Fields(j.out)
		return strings.Join(words[:min(2, len(words))], " ") + "\n", j.err
	}),
	// ticket LABEL ENTRY TEAM: asks for a ticket; "call" takes @LABEL as id.
	"ticket": command("ticket", func(s *session, a []string) (string, error) { return "", s.ticket(a[0], a[1], a[2]) }),
	// claimfault KIND TEAM/ID: switches a fault of the store on that strikes
	// the next write of the shard that holds the call's claim. Outcomes of
	// earlier calls are written behind, into other shards.
	"claimfault": command("claimfault", func(s *session, a []string) (string, error) {
		team, id, _ := strings.Cut(a[1], "/")
		return "", s.InjectFault(procs.StoreName, a[0], claim.ObjectKey(claim.KeyOf(team, id).Shard()), 1)
	}),
	// limit TEAM RATE BURST: changes what a team may send.
	"limit": command("limit", func(s *session, a []string) (string, error) { return "", s.limit(a[0], a[1], a[2]) }),
	// big ENTRY TEAM METHOD URI ID BYTES: a call with a body of that length;
	// prints status, verdict and code.
	"big": command("big", func(s *session, a []string) (string, error) {
		var n int
		if _, err := fmt.Sscan(a[5], &n); err != nil {
			return "", err
		}
		reply, err := s.Call(a[0], a[1], a[2], a[3], a[4], strings.Repeat("x", n))
		if err != nil {
			return "connection lost\n", nil
		}
		var p procs.ErrorBody
		_ = json.Unmarshal([]byte(reply.Body), &p)
		return fmt.Sprintf("%d %s %s\n", reply.Status, reply.Verdict, p.Code), nil
	}),
}

// ran sums the counts of all plain services that are alive.
func (s *session) ran(keys []string) (string, error) {
	counts := map[string]int{}
	for _, p := range s.All() {
		if len(p.Args) == 0 || p.Args[0] != "plain" || p.Signal(syscall.Signal(0)) != nil {
			continue
		}
		text, err := s.Control(p.Name, "GET", "/counts", nil)
		if err != nil {
			return "", err
		}
		var own map[string]int
		if err := json.Unmarshal([]byte(text), &own); err != nil {
			return "", err
		}
		for key, n := range own {
			counts[key] += n
		}
	}
	var out strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&out, "%s %d\n", s.id(key), counts[s.id(key)])
	}
	return out.String(), nil
}

// id returns the ticket for an id such as @seat or team/@seat.
func (s *session) id(text string) string {
	before, label, found := strings.Cut(text, "@")
	if !found {
		return text
	}
	return before + s.tickets[label]
}

func (s *session) ticket(label, entry, team string) error {
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

// limit writes a team's quota into the book of teams, as the users' own
// engineers do.
func (s *session) limit(name, rate, burst string) error {
	p, err := s.Get(procs.StoreName)
	if err != nil {
		return err
	}
	client := &store.Client{Address: p.Addresses["serve"]}
	o, err := client.Get(context.Background(), conf.TeamsKey)
	if err != nil {
		return err
	}
	var book team.Directory
	if err := json.Unmarshal(o.Value, &book); err != nil {
		return err
	}
	for i := range book.Teams {
		if book.Teams[i].Name == name {
			if _, err := fmt.Sscan(rate+" "+burst, &book.Teams[i].Quota.Rate, &book.Teams[i].Quota.Burst); err != nil {
				return err
			}
		}
	}
	value, err := json.Marshal(book)
	if err != nil {
		return err
	}
	_, err = client.Put(context.Background(), conf.TeamsKey, value, o.Version)
	return err
}
