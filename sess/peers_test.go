package sess

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
)

// The commands of the sessions on how entry hosts act together.
func init() {
	maps.Copy(commands, peerCommands)
}

var peerCommands = map[string]scriptFunc{
	// cuttable: lets failure domains be cut off; comes before town.
	"cuttable": command("cuttable", func(s *session, _ []string) (string, error) { s.EnablePartitions(); return "", nil }),
	// island DOMAIN: cuts a failure domain off from the others and the store;
	// mainland ends it.
	"island": command("island", func(s *session, a []string) (string, error) {
		return "", s.Isolate(domain.Name(a[0]))
	}),
	// part DOMAIN: cuts a failure domain off from the others only.
	"part": command("part", func(s *session, a []string) (string, error) {
		s.Partition(domain.Name(a[0]))
		return "", nil
	}),
	// orders NAME: prints the orders that took effect on an engine, and by
	// which pair of entry hosts each was given.
	"orders":   command("orders", func(s *session, a []string) (string, error) { return s.orders(a[0]) }),
	"mainland": command("mainland", func(s *session, _ []string) (string, error) { return "", s.Reconnect() }),
	// crasher ENTRY TEAM PROMPT MAX: asks, and prints with the outcome whether
	// the caller was told when to come back.
	"crasher": command("crasher", func(s *session, a []string) (string, error) { return s.crasher(a) }),
	// lost NAME...: prints how many of the processes have ended.
	"lost": command("lost", func(s *session, a []string) (string, error) {
		n, err := s.lost(a)
		return fmt.Sprintf("%d lost\n", n), err
	}),
	// streams N MAX: starts streams through all entry hosts in turn; joined
	// waits for them and prints their outcomes.
	"streams": command("streams", func(s *session, a []string) (string, error) { return "", s.streams(a) }),
	"joined":  command("joined", func(s *session, _ []string) (string, error) { return s.joined() }),
}

func (s *session) crasher(a []string) (string, error) {
	max, err := strconv.Atoi(a[3])
	if err != nil {
		return "", err
	}
	answer, err := s.Generate(a[0], a[1], "assist", a[2], max)
	if err != nil {
		return "", err
	}
	out := answer.Check(a[2], townLayers, max)
	if p := answer.Problem; p != nil && p.Code == fault.Poisoned {
		out += fmt.Sprintf(", come back later %v", p.RetryAfterMs > 0)
	}
	return out + "\n", nil
}

func (s *session) lost(names []string) (int, error) {
	n := 0
	for _, name := range names {
		p, err := s.Get(name)
		if err != nil {
			return 0, err
		}
		select {
		case <-p.Exited:
			n++
		default:
		}
	}
	return n, nil
}

// streams starts requests whose prompts all differ.
func (s *session) streams(a []string) error {
	n, err := strconv.Atoi(a[0])
	if err != nil {
		return err
	}
	for i := range n {
		entry := fmt.Sprintf("e%d", i%4+1)
		ask := []string{"ask", entry, townTeam, fmt.Sprintf("stream-%d", i), a[1]}
		if err := s.start(append([]string{fmt.Sprintf("stream-%d", i)}, ask...)); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) joined() (string, error) {
	outcomes := map[string]int{}
	for name, j := range s.jobs {
		if !strings.HasPrefix(name, "stream-") {
			continue
		}
		<-j.done
		if j.err != nil {
			return "", j.err
		}
		outcomes[strings.TrimSpace(j.out)]++
		delete(s.jobs, name)
	}
	out, whole := "", true
	for outcome, n := range outcomes {
		out += fmt.Sprintf("%d times %s\n", n, outcome)
		whole = whole && strings.HasPrefix(outcome, "whole")
	}
	if whole {
		return out, nil
	}
	// Why an answer was given up is told by the time line alone.
	events, _ := s.RunDesk("e1", "show", "timeline")
	for line := range strings.Lines(events) {
		if strings.Contains(line, " relay ") || strings.Contains(line, " guard ") {
			out += line
		}
	}
	return "", fmt.Errorf("not all whole:\n%s", out)
}

// orders tells e1 and e2 from the entry hosts that came later.
func (s *session) orders(name string) (string, error) {
	p, err := s.Get(name)
	if err != nil {
		return "", err
	}
	taken, err := (&engine.Client{}).Orders(context.Background(), p.Addresses["serve"])
	out := ""
	for _, order := range taken {
		by := "a successor"
		if order.Holder == "e1" || order.Holder == "e2" {
			by = "the first holder"
		}
		out += fmt.Sprintf("%s by %s\n", order.Order, by)
	}
	return out, err
}
