// Package feed keeps the snapshot up to date from the platform's service:
// the configuration, the book of teams and the host list.
package feed

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/team"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Feed watches the platform's service. Set the exported fields, then Run.
type Feed struct {
	Store store.API
	View  *view.Holder
	Trace *trace.Line
	Log   *slog.Logger
}

// retryWait is the mean pause after a failed call.
const retryWait = 200 * time.Millisecond

// Run watches until the context ends.
func (f *Feed) Run(ctx context.Context) {
	done := make(chan struct{}, 3)
	go func() { f.watchObjects(ctx); done <- struct{}{} }()
	go func() { f.watchHosts(ctx); done <- struct{}{} }()
	go func() { f.watchStops(ctx); done <- struct{}{} }()
	for range cap(done) {
		<-done
	}
}

func (f *Feed) watchObjects(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		changes, err := f.Store.Watch(ctx, conf.Prefix, after)
		if err != nil {
			f.rest(ctx, "watch objects", err)
			continue
		}
		for _, o := range changes.Objects {
			f.take(o)
		}
		after = max(after, changes.Version)
	}
}

func (f *Feed) take(o store.Object) {
	switch o.Key {
	case conf.Key:
		c, err := conf.Decode(o.Value)
		if err != nil {
			f.Log.Error("feed: configuration unreadable", "err", err)
			return
		}
		f.Offer(c)
	case conf.TeamsKey:
		book := &team.Book{Version: o.Version}
		if err := json.Unmarshal(o.Value, book); err != nil {
			f.Log.Error("feed: teams unreadable", "err", err)
			return
		}
		f.View.Update(func(s *view.Snapshot) { s.Teams = book })
	}
}

// Offer puts a configuration in force if it is newer than the one that is.
// It reports whether it was.
func (f *Feed) Offer(c *conf.Config) bool {
	newer := false
	f.View.Update(func(s *view.Snapshot) {
		if s.Config != nil && c.Revision <= s.Config.Revision {
			return
		}
		newer = true
		s.Config = c
		s.ConfigAt = time.Now()
		out(s, time.Now())
	})
	if newer {
		f.Trace.Add("feed", "", "configuration in force")
		f.Log.Info("feed: configuration in force", "revision", c.Revision)
	}
	return newer
}

func (f *Feed) watchHosts(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		list, err := f.Store.Hosts(ctx, after)
		if err != nil {
			f.rest(ctx, "watch hosts", err)
			continue
		}
		if list.Revision <= after {
			continue
		}
		after = list.Revision
		f.View.Update(func(s *view.Snapshot) {
			s.HostsRevision = list.Revision
			s.Hosts = make(map[string]host.Host, len(list.Hosts))
			for _, h := range list.Hosts {
				s.Hosts[h.Name] = h
			}
			out(s, time.Now())
		})
	}
}

// stopTick is how often planned stops are looked at.
const stopTick = 500 * time.Millisecond

func (f *Feed) watchStops(ctx context.Context) {
	tick := time.NewTicker(stopTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.View.Update(func(s *view.Snapshot) { out(s, now) })
		}
	}
}

// out takes servers out of new work by the host list and the planned stops.
func out(s *view.Snapshot, now time.Time) {
	leaving := map[string]bool{}
	for name, h := range s.Hosts {
		if h.State == host.Leaving {
			leaving[name] = true
		}
	}
	s.SetOut(view.HostLeaving, leaving)
	stopping := map[string]bool{}
	if s.Config != nil {
		for name, stop := range s.Config.Stops {
			if stop.Begun(now) {
				stopping[name] = true
			}
		}
	}
	s.SetOut(view.Stopping, stopping)
}

func (f *Feed) rest(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Log.Warn("feed: store does not answer", "call", what, "err", err)
	t := time.NewTimer(retryWait/2 + rand.N(retryWait))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
