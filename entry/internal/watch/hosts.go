package watch

import (
	"context"
	"time"

	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/view"
)

// watchHosts applies each new host list until the context is cancelled.
func (w *Watcher) watchHosts(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		list, err := w.Store.Hosts(ctx, after)
		if err != nil {
			w.recordFailure(ctx, &w.hosts, "hosts", err)
			continue
		}
		w.recordSuccess(&w.hosts, "hosts")
		if list.Revision <= after {
			continue
		}
		after = list.Revision
		w.applyHosts(list)
	}
}

// applyHosts applies a host list if its revision is higher.
func (w *Watcher) applyHosts(list host.List) {
	hosts := make(map[string]host.Host, len(list.Hosts))
	for _, h := range list.Hosts {
		hosts[h.Name] = h
	}
	w.View.Update(func(s *view.Snapshot) {
		if list.Revision <= s.HostsRevision {
			return
		}
		s.HostsRevision = list.Revision
		s.Hosts = hosts
		updateCordons(s, time.Now())
	})
}

// stopInterval is how often planned stops are checked.
const stopInterval = 500 * time.Millisecond

// watchStops cordons the servers whose planned stop has begun.
func (w *Watcher) watchStops(ctx context.Context) {
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.View.Update(func(s *view.Snapshot) { updateCordons(s, now) })
		}
	}
}

// updateCordons updates which servers are cordoned by the host list and by the
// planned stops.
func updateCordons(s *view.Snapshot, now time.Time) {
	leaving := map[string]bool{}
	for name, h := range s.Hosts {
		if h.State == host.Leaving {
			leaving[name] = true
		}
	}
	s.SetCordoned(view.HostLeaving, leaving)
	stopping := map[string]bool{}
	if s.Config != nil {
		for name, stop := range s.Config.Stops {
			if stop.Begun(now) {
				stopping[name] = true
			}
		}
	}
	s.SetCordoned(view.Stopping, stopping)
}
