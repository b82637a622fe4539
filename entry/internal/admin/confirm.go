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

// confirmTimeout bounds the wait for all entry hosts to confirm a line.
const confirmTimeout = 4 * time.Second

// confirmInterval is the delay between two rounds of status queries.
const confirmInterval = 50 * time.Millisecond

// pushConfigAfter is how long an entry host may lag before the status query
// carries the configuration. By then most have received it from their watch of
// the object API, so it is not sent twice.
const pushConfigAfter = 250 * time.Millisecond

// confirm waits until every live entry host has an accepted line in force. A
// host confirms by the line's id, not by a revision alone: after the object
// API lost data, one revision can be two configurations.
func (s *Server) confirm(ctx context.Context, line conf.Line) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answer := &wire.Answer{Outcome: Done, Revision: line.Revision}
	if s.View.Load().HostsRevision == 0 {
		answer.Outcome, answer.Message = Partial, hostsUnknown
	}
	start := time.Now()
	lagging := map[string]bool{}
	missing := s.Mesh.Others()
	for {
		missing = s.confirmRound(ctx, line.ID, missing, lagging, time.Since(start) > pushConfigAfter)
		if len(missing) == 0 || ctx.Err() != nil {
			break
		}
		wait.For(ctx, confirmInterval)
	}
	// Hosts that have since been removed from the list or have left need not
	// confirm.
	current := map[string]bool{}
	for _, h := range s.Mesh.Others() {
		current[h.Name] = true
	}
	for _, h := range missing {
		if current[h.Name] {
			answer.Missing = append(answer.Missing, h.Name)
		}
	}
	if snap := s.View.Load(); !hasLine(snap.Config, line.ID) {
		answer.Missing = append(answer.Missing, snap.Self)
	}
	if len(answer.Missing) > 0 {
		answer.Outcome = Partial
	}
	slices.Sort(answer.Missing)
	return answer
}

// hostsUnknown is the message of an answer that may not cover all entry hosts.
const hostsUnknown = "the host list is not known here, so neither are all entry hosts"

// hasLine reports whether a configuration records the line with the id.
func hasLine(c *conf.Config, id string) bool {
	_, found := c.Find(id)
	return found
}

// confirmRound queries hosts once and returns those that have not confirmed. It
// marks in lagging the hosts that answered without having the line; with push,
// those of earlier rounds are sent the configuration. A host that does not answer
// occupies a worker for statusTimeout only, so that an unreachable failure domain
// does not keep the others from being queried.
func (s *Server) confirmRound(
	ctx context.Context, id string, hosts []host.Host, lagging map[string]bool, push bool,
) []host.Host {
	var object []byte
	if push && len(lagging) > 0 {
		object, _ = s.View.Load().Config.Encode()
	}
	replies := queryAll(ctx, s, hosts, func(ctx context.Context, h host.Host) (*wire.StatusReply, error) {
		ask := &wire.StatusAsk{Secret: s.Mesh.Secret, Line: id}
		if lagging[h.Name] {
			ask.Object = object
		}
		return s.status(ctx, h, ask)
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
