package view

// Acquire counts a request onto the backend servers that it is about to be
// sent to, and reports whether all of them still take new work. After false
// nothing is counted and the request has to choose again; after true the
// request calls Leave with the same names once it is over.
//
// A request chooses its servers from a snapshot that may be older than a stop
// which has come into force since. Were it counted after that, a report of
// "nothing in flight" could be made in between, the stop be called safe, and
// the server be taken away under the request: its caller would see a cut. So
// the request is counted first and looks at the newest snapshot second, while
// a report reads the snapshot first and the counts second. Whichever of the
// two comes first, either the report sees the count or the request sees the
// stop.
func (h *Publisher) Acquire(servers ...string) bool {
	h.count(1, servers)
	snap := h.Load()
	for _, name := range servers {
		if _, out := snap.Cordoned[name]; out {
			h.count(-1, servers)
			return false
		}
	}
	return true
}

// Release ends what Enter began.
func (h *Publisher) Release(servers ...string) {
	h.count(-1, servers)
}

func (h *Publisher) count(change int64, servers []string) {
	snap := h.Load()
	for _, name := range servers {
		if m := snap.Meters[name]; m != nil {
			m.InFlight.Add(change)
		}
	}
}

// InFlight returns the number of this entry's requests on a server that gets
// no new work, and the configuration revision at which it was counted. It
// reports false for a server that still gets work. The snapshot is read
// before the count; see Enter.
func (h *Publisher) InFlight(server string) (count int64, revision uint64, out bool) {
	snap := h.Load()
	if _, out = snap.Cordoned[server]; !out || snap.Config == nil {
		return 0, 0, false
	}
	if m := snap.Meters[server]; m != nil {
		count = m.InFlight.Load()
	}
	return count, snap.Config.Revision, true
}
