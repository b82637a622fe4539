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

// The delay before a configuration is restored is random, so that one of many
// entry hosts goes first and the others find the configuration restored. Its
// upper limit starts at initialRestoreDelay and doubles after each failure up to
// maxRestoreDelay, since an object API that keeps answering with an older copy
// refuses every write.
const (
	initialRestoreDelay = time.Second
	maxRestoreDelay     = 30 * time.Second
)

// restoreLoop restores the newest configuration in force to the object API each
// time the watch detects that the object API has lost it.
func (s *Server) restoreLoop(ctx context.Context) {
	maxDelay := initialRestoreDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Watch.StoreStale():
		}
		wait.For(ctx, rand.N(maxDelay))
		if ctx.Err() != nil {
			return
		}
		if err := s.restoreConfig(ctx); err != nil {
			s.Log.Warn("seat: configuration not restored", "err", err)
			s.Watch.MarkStoreStale()
			maxDelay = min(2*maxDelay, maxRestoreDelay)
			continue
		}
		maxDelay = initialRestoreDelay
	}
}

// restoreConfig writes the newest configuration that an entry host has in force,
// unless the object API has it again already.
func (s *Server) restoreConfig(ctx context.Context) error {
	if !s.awaitHosts(ctx) {
		return errors.New(hostsUnknown)
	}
	_, stored, err := s.readConfig(ctx)
	if err != nil || stored.DescendsFrom(s.View.Load().Config) {
		return err
	}
	survey := s.survey(ctx)
	object, stored, err := s.readConfig(ctx)
	if err != nil {
		return err
	}
	base, err := s.baseConfig(ctx, stored, survey)
	if err != nil || base == stored {
		return err
	}
	if base.Revision == stored.Revision {
		// The object API holds other lines under this revision; see
		// conf.ChooseBasis.
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
	s.Log.Info("seat: configuration restored", "revision", base.Revision)
	return nil
}
