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

// surveyResult holds the revisions that the other entry hosts have in force.
type surveyResult struct {
	// newest is a host with the highest revision, and revision that revision.
	newest   host.Host
	revision uint64
	// unresponsive names the hosts that did not answer, sorted.
	unresponsive []string
}

// surveyTimeout bounds a survey. A live host answers in milliseconds; the bound
// allows for many hosts that do not answer and occupy the workers.
const surveyTimeout = time.Second

// awaitHosts waits until the host list is known, which it is shortly after an
// entry host starts, and reports whether it is. Without the list a line could not
// be checked, and it would go unnoticed that the object API has lost lines that
// are in force on other entry hosts.
func (s *Server) awaitHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, outageTimeout)
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

// survey queries the revisions of all other entry hosts.
func (s *Server) survey(ctx context.Context) surveyResult {
	others := s.Mesh.Others()
	replies := s.statuses(ctx, others)
	var result surveyResult
	for _, h := range others {
		reply := replies[h.Name]
		if reply == nil {
			result.unresponsive = append(result.unresponsive, h.Name)
			continue
		}
		if reply.Revision > result.revision {
			result.newest, result.revision = h, reply.Revision
		}
	}
	slices.Sort(result.unresponsive)
	return result
}

// statusTimeout bounds one status query.
const statusTimeout = 400 * time.Millisecond

// status queries the status of one entry host.
func (s *Server) status(ctx context.Context, h host.Host, ask *wire.StatusAsk) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client, err := s.Mesh.Client(ctx, h)
	if err != nil {
		return nil, err
	}
	return client.Status(ctx, ask)
}

// queryAll queries hosts concurrently, as far as the workers allow. The returned
// map lacks the hosts whose query failed.
func queryAll[T any](
	ctx context.Context, s *Server, hosts []host.Host, ask func(context.Context, host.Host) (T, error),
) map[string]T {
	var mu sync.Mutex
	var wg sync.WaitGroup
	replies := map[string]T{}
	for _, h := range hosts {
		wg.Add(1)
		err := s.Workers.Submit(func() {
			defer wg.Done()
			reply, err := ask(ctx, h)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[h.Name] = reply
		})
		if err != nil {
			wg.Done()
		}
	}
	wg.Wait()
	return replies
}

// statuses queries the status of hosts, within surveyTimeout.
func (s *Server) statuses(ctx context.Context, hosts []host.Host) map[string]*wire.StatusReply {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	return queryAll(ctx, s, hosts, func(ctx context.Context, h host.Host) (*wire.StatusReply, error) {
		return s.status(ctx, h, &wire.StatusAsk{Secret: s.Mesh.Secret})
	})
}

// baseConfig returns the configuration to build the next line on; see
// conf.ChooseBasis. The survey must be older than the read of the stored
// configuration.
func (s *Server) baseConfig(ctx context.Context, stored *conf.Config, survey surveyResult) (*conf.Config, error) {
	local := s.View.Load().Config
	basis := conf.ChooseBasis(stored, local, survey.revision, len(survey.unresponsive) > 0)
	if basis == conf.Stored {
		return stored, nil
	}
	highest := max(survey.revision, revisionOf(local))
	metrics.GetOrRegisterCounter("seat.store_behind", nil).Inc(1)
	s.Log.Error("seat: the object API lacks lines that are in force",
		"held", stored.Revision, "in_force", highest)
	base := local
	switch basis {
	case conf.Peers:
		fetched, err := s.fetchConfig(ctx, survey.newest)
		if err != nil {
			return nil, err
		}
		if !fetched.Supersedes(local) {
			return nil, fmt.Errorf("%s has other lines in force than this entry host", survey.newest.Name)
		}
		base = fetched
	case conf.None:
		return nil, fmt.Errorf("the object API holds revision %d and lacks lines of revision %d in force, and %s does not answer",
			stored.Revision, highest, strings.Join(survey.unresponsive, " "))
	}
	return base.RebaseOnto(stored), nil
}

// fetchConfig returns the configuration in force on another entry host.
func (s *Server) fetchConfig(ctx context.Context, from host.Host) (*conf.Config, error) {
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
