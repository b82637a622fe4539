package admin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/wait"
)

// The pauses before a configuration is put back. The first is drawn up to
// backFirst, so that one of many entry hosts goes ahead and the others find it
// done; they double up to backMost, since a store that goes on answering with
// an older copy refuses every write.
const (
	backFirst = time.Second
	backMost  = 30 * time.Second
)

// putBack writes the newest configuration in force back into an object API
// that has lost it, each time that the watch has seen that.
func (s *Server) putBack(ctx context.Context) {
	pause := backFirst
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Watch.StoreStale():
		}
		wait.For(ctx, rand.N(pause))
		if ctx.Err() != nil {
			return
		}
		if err := s.putBackOnce(ctx); err != nil {
			s.Log.Warn("seat: configuration not put back", "err", err)
			s.Watch.MarkStoreStale()
			pause = min(2*pause, backMost)
			continue
		}
		pause = backFirst
	}
}

// putBackOnce asks all entry hosts for what they have, unless the object API
// has got it back meanwhile, and writes the newest.
func (s *Server) putBackOnce(ctx context.Context) error {
	if !s.awaitHosts(ctx) {
		return errors.New(hostsUnknown)
	}
	_, stored, err := s.read(ctx)
	if err != nil || stored.DescendsFrom(s.View.Load().Config) {
		return err
	}
	known := s.survey(ctx)
	object, stored, err := s.read(ctx)
	if err != nil {
		return err
	}
	base, err := s.base(ctx, stored, known)
	if err != nil || base == stored {
		return err
	}
	if base.Revision == stored.Revision {
		// The store holds other lines under this revision; see conf.Choose.
		base.Revision++
	}
	value, err := base.Encode()
	if err != nil {
		return err
	}
	if _, err := s.Store.Put(ctx, conf.Key, value, object.Version); err != nil {
		return err
	}
	s.Watch.Apply(base)
	metrics.GetOrRegisterCounter("seat.put_back", nil).Inc(1)
	s.Trace.Record("seat", "", fmt.Sprintf("configuration of revision %d put back into the store", base.Revision))
	s.Log.Info("seat: configuration put back", "revision", base.Revision)
	return nil
}
