package admin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/wire"
)

// survey is what the other entry hosts have in force.
type survey struct {
	// best is the host with the highest revision.
	best     host.Host
	revision uint64
	// silent names the hosts that did not answer, sorted.
	silent []string
}

// surveyWait bounds a survey. A live host answers in milliseconds; the rest is
// for many that do not.
const surveyWait = time.Second

// awaitHosts waits until the host list is known, as it is moments after the
// start of an entry host. Without it a line could not be checked, and a store
// that lost what others have in force would not be noticed.
func (s *Server) awaitHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, outageWait)
	defer cancel()
	for {
		changed := s.View.Changed()
		if s.View.Load().HostsRevision > 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// survey asks all other entry hosts for their revision.
func (s *Server) survey(ctx context.Context) survey {
	others := s.Mesh.Others()
	replies := s.statuses(ctx, others)
	var found survey
	for _, h := range others {
		reply := replies[h.Name]
		if reply == nil {
			found.silent = append(found.silent, h.Name)
			continue
		}
		if reply.Revision > found.revision {
			found.best, found.revision = h, reply.Revision
		}
	}
	slices.Sort(found.silent)
	return found
}

// askWait bounds one question to one entry host.
const askWait = 400 * time.Millisecond

// ask asks one entry host.
func (s *Server) ask(ctx context.Context, h host.Host, ask *wire.StatusAsk) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	client, err := s.Mesh.Client(ctx, h)
	if err != nil {
		return nil, err
	}
	return client.Status(ctx, ask)
}

// askAll asks many hosts at once, as far as the workers allow. The map lacks
// those that failed.
func askAll[T any](
	ctx context.Context, s *Server, hosts []host.Host, ask func(context.Context, host.Host) (T, error),
) map[string]T {
	var mu sync.Mutex
	var all sync.WaitGroup
	replies := map[string]T{}
	for _, h := range hosts {
		all.Add(1)
		err := s.Workers.Submit(func() {
			defer all.Done()
			reply, err := ask(ctx, h)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[h.Name] = reply
		})
		if err != nil {
			all.Done()
		}
	}
	all.Wait()
	return replies
}

// statuses asks hosts for their status, within surveyWait.
func (s *Server) statuses(ctx context.Context, hosts []host.Host) map[string]*wire.StatusReply {
	ctx, cancel := context.WithTimeout(ctx, surveyWait)
	defer cancel()
	return askAll(ctx, s, hosts, func(ctx context.Context, h host.Host) (*wire.StatusReply, error) {
		return s.ask(ctx, h, &wire.StatusAsk{Secret: s.Mesh.Secret})
	})
}

// base returns the configuration that the next line is built on; see
// conf.Choose. The survey was made before the object was read.
func (s *Server) base(ctx context.Context, stored *conf.Config, known survey) (*conf.Config, error) {
	own := s.View.Load().Config
	basis := conf.ChooseBasis(stored, own, known.revision, len(known.silent) > 0)
	if basis == conf.Stored {
		return stored, nil
	}
	highest := max(known.revision, revision(own))
	metrics.GetOrRegisterCounter("seat.store_behind", nil).Inc(1)
	s.Log.Error("seat: the object API lacks lines that are in force",
		"held", stored.Revision, "in_force", highest)
	base := own
	switch basis {
	case conf.Peers:
		fetched, err := s.fetch(ctx, known.best)
		if err != nil {
			return nil, err
		}
		if !fetched.Supersedes(own) {
			return nil, fmt.Errorf("%s has other lines in force than this entry host", known.best.Name)
		}
		base = fetched
	case conf.None:
		return nil, fmt.Errorf("the object API holds revision %d and lacks lines of revision %d in force, and %s does not answer",
			stored.Revision, highest, strings.Join(known.silent, " "))
	}
	return base.RebaseOnto(stored), nil
}

// fetch gets the configuration in force on another entry host.
func (s *Server) fetch(ctx context.Context, from host.Host) (*conf.Config, error) {
	client, err := s.Mesh.Client(ctx, from)
	if err != nil {
		return nil, err
	}
	reply, err := client.Config(ctx, &wire.ConfigAsk{Secret: s.Mesh.Secret})
	if err != nil {
		return nil, err
	}
	if len(reply.Object) == 0 {
		return nil, errors.New("no configuration came from " + from.Name)
	}
	return conf.Decode(reply.Object)
}
