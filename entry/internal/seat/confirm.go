package seat

import (
	"context"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/wire"
)

// confirmWait is how long a line waits for all entry hosts to confirm.
const confirmWait = 4 * time.Second

// confirmTick is the pause between two questions to one entry host.
const confirmTick = 50 * time.Millisecond

// handOnAfter is how long an entry host may lag before the configuration is
// handed to it with the question. Most have it from the store's watch by
// then, so that it need not travel twice.
const handOnAfter = 250 * time.Millisecond

// confirm waits until every live entry host has an accepted line in force. A
// host confirms by the line's id, not by a revision alone: after the object
// API lost data, one revision can be two configurations.
func (s *Seat) confirm(ctx context.Context, line conf.Line) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	answer := &wire.Answer{Outcome: Done, Revision: line.Revision}
	if s.View.Load().HostsRevision == 0 {
		answer.Outcome, answer.Message = Partly, "the host list is not known here, so neither are all entry hosts"
	}
	others := s.Mesh.Others()
	replies := askAll(ctx, s, others, func(ctx context.Context, h host.Host) (*wire.StatusReply, error) {
		return s.confirmOne(ctx, h, line.ID)
	})
	// Hosts that left the list or said goodbye meanwhile need not confirm.
	still := map[string]bool{}
	for _, h := range s.Mesh.Others() {
		still[h.Name] = true
	}
	for _, h := range others {
		if replies[h.Name] == nil && still[h.Name] {
			answer.Missing = append(answer.Missing, h.Name)
		}
	}
	if _, own := s.View.Load().Config.Find(line.ID); !own {
		answer.Missing = append(answer.Missing, s.View.Load().Self)
	}
	if len(answer.Missing) > 0 {
		answer.Outcome = Partly
	}
	slices.Sort(answer.Missing)
	return answer
}

// confirmOne asks one entry host until it has the line in force.
func (s *Seat) confirmOne(ctx context.Context, h host.Host, id string) (*wire.StatusReply, error) {
	began := time.Now()
	ask := &wire.StatusAsk{Secret: s.Mesh.Secret, Line: id}
	for {
		reply, err := s.ask(ctx, h, ask)
		if err == nil && reply.HasLine {
			return reply, nil
		}
		if err == nil && len(ask.Object) == 0 && time.Since(began) > handOnAfter {
			ask.Object, _ = s.View.Load().Config.Encode()
		}
		pause(ctx, confirmTick)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}
