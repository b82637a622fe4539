package admin

import (
	"context"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/parts/wire"
)

// confirmWait is how long a line waits for all entry hosts to confirm.
const confirmWait = 4 * time.Second

// confirmTick is the pause between two rounds of questions.
const confirmTick = 50 * time.Millisecond

// handOnAfter is how long an entry host may lag before the configuration is
// handed to it with the question. Most have it from the store's watch by
// then, so that it need not travel twice.
const handOnAfter = 250 * time.Millisecond

// confirm waits until every live entry host has an accepted line in force. A
// host confirms by the line's id, not by a revision alone: after the object
// API lost data, one revision can be two configurations.
func (s *Server) confirm(ctx context.Context, line conf.Line) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	answer := &wire.Answer{Outcome: Done, Revision: line.Revision}
	if s.View.Load().HostsRevision == 0 {
		answer.Outcome, answer.Message = Partial, hostsUnknown
	}
	began := time.Now()
	lagging := map[string]bool{}
	missing := s.Mesh.Others()
	for {
		missing = s.confirmRound(ctx, line.ID, missing, lagging, time.Since(began) > handOnAfter)
		if len(missing) == 0 || ctx.Err() != nil {
			break
		}
		wait.For(ctx, confirmTick)
	}
	// Hosts that left the list or said goodbye meanwhile need not confirm.
	still := map[string]bool{}
	for _, h := range s.Mesh.Others() {
		still[h.Name] = true
	}
	for _, h := range missing {
		if still[h.Name] {
			answer.Missing = append(answer.Missing, h.Name)
		}
	}
	if snap := s.View.Load(); !has(snap.Config, line.ID) {
		answer.Missing = append(answer.Missing, snap.Self)
	}
	if len(answer.Missing) > 0 {
		answer.Outcome = Partial
	}
	slices.Sort(answer.Missing)
	return answer
}

// hostsUnknown is why an answer about all entry hosts cannot be given.
const hostsUnknown = "the host list is not known here, so neither are all entry hosts"

func has(c *conf.Config, id string) bool {
	_, found := c.Find(id)
	return found
}

// confirmRound asks hosts once and returns those that have not confirmed. One
// that answered in an earlier round, and is in lagging since, is handed the
// configuration. A host that does not answer holds a worker for askWait only,
// so that a failure domain that is cut off does not keep the others from being
// asked.
func (s *Server) confirmRound(
	ctx context.Context, id string, hosts []host.Host, lagging map[string]bool, handOn bool,
) []host.Host {
	var object []byte
	if handOn && len(lagging) > 0 {
		object, _ = s.View.Load().Config.Encode()
	}
	replies := askAll(ctx, s, hosts, func(ctx context.Context, h host.Host) (*wire.StatusReply, error) {
		ask := &wire.StatusAsk{Secret: s.Mesh.Secret, Line: id}
		if lagging[h.Name] {
			ask.Object = object
		}
		return s.ask(ctx, h, ask)
	})
	var missing []host.Host
	for _, h := range hosts {
		reply := replies[h.Name]
		if reply != nil && reply.HasLine {
			continue
		}
		lagging[h.Name] = reply != nil
		missing = append(missing, h)
	}
	return missing
}
