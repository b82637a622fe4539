package view

// Acquire counts a request as in flight on the backend servers that it is about
// to be sent to, and reports whether all of them still take new work. If it
// returns false, nothing is counted and the request has to choose other servers;
// if it returns true, the request calls Release with the same names when it
// ends.
//
// A request chooses its servers from a snapshot that may be older than a stop
// which has since come into force. If it checked for the stop before it was
// counted, InFlight could report zero in between; the server would be removed
// as safe to stop and the caller would get a truncated response. So a request
// is counted before it reads the latest snapshot, and InFlight reads the
// snapshot before the counts. In either order, InFlight sees the count or the
// request sees the stop.
func (p *Publisher) Acquire(servers ...string) bool {
	p.count(1, servers)
	snap := p.Load()
	for _, name := range servers {
		if _, cordoned := snap.Cordoned[name]; cordoned {
			p.count(-1, servers)
			return false
		}
	}
	return true
}

// Release undoes a successful Acquire.
func (p *Publisher) Release(servers ...string) {
	p.count(-1, servers)
}

func (p *Publisher) count(delta int64, servers []string) {
	snap := p.Load()
	for _, name := range servers {
		if meter := snap.Meters[name]; meter != nil {
			meter.InFlight.Add(delta)
		}
	}
}

// InFlight returns the number of this entry host's requests on a cordoned
// server, and the configuration revision at which they were counted. It
// reports false for a server that still gets new work. The snapshot is read
// before the count; see Acquire.
func (p *Publisher) InFlight(server string) (count int64, revision uint64, cordoned bool) {
	snap := p.Load()
	if _, cordoned = snap.Cordoned[server]; !cordoned || snap.Config == nil {
		return 0, 0, false
	}
	if meter := snap.Meters[server]; meter != nil {
		count = meter.InFlight.Load()
	}
	return count, snap.Config.Revision, true
}
