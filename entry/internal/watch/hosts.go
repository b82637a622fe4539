package watch

import (
	"context"
	"time"

	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/view"
)

func (f *Watcher) watchHosts(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		list, err := f.Store.Hosts(ctx, after)
		if err != nil {
			f.failed(ctx, &f.hosts, "hosts", err)
			continue
		}
		f.answered(&f.hosts, "hosts")
		if list.Revision <= after {
			continue
		}
		after = list.Revision
		f.offerHosts(list)
	}
}

// offerHosts takes a host list of a higher revision.
func (f *Watcher) offerHosts(list host.List) {
	hosts := make(map[string]host.Host, len(list.Hosts))
	for _, h := range list.Hosts {
		hosts[h.Name] = h
	}
	f.View.Update(func(s *view.Snapshot) {
		if list.Revision <= s.HostsRevision {
			return
		}
		s.HostsRevision = list.Revision
		s.Hosts = hosts
		out(s, time.Now())
	})
}

// stopTick is how often planned stops are looked at.
const stopTick = 500 * time.Millisecond

func (f *Watcher) watchStops(ctx context.Context) {
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
