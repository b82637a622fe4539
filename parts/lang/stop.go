package lang

import (
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
)

// MaxStopDelay is how far ahead a stop can be planned.
const MaxStopDelay = 30 * 24 * time.Hour

func (e *edit) stop(s *Stop) error {
	e.at = s.Server
	h, listed := e.world.Hosts[s.Server.Text]
	if !listed {
		return fault(s.Server, "server %s is not in the host list", s.Server.Text)
	}
	if h.Role == host.Entry {
		return fault(s.Server, "%s is an entry host, want a backend server", s.Server.Text)
	}
	at, err := s.begin(e.world.Now)
	if err != nil {
		return err
	}
	e.Stops[s.Server.Text] = conf.Stop{Server: s.Server.Text, At: at, Revision: e.Revision}
	return nil
}

// begin returns when the stop begins. A time of day that has passed means
// tomorrow.
func (s *Stop) begin(now time.Time) (time.Time, error) {
	switch {
	case s.At != nil:
		clock, err := time.Parse("15:04", s.At.Text)
		if err != nil {
			return now, fault(Word{Pos: s.At.Pos}, "at: want a time of day (UTC) such as 22:00, not %s", s.At.Text)
		}
		year, month, day := now.UTC().Date()
		at := time.Date(year, month, day, clock.Hour(), clock.Minute(), 0, 0, time.UTC)
		if at.Before(now) {
			at = at.AddDate(0, 0, 1)
		}
		return at, nil
	case s.In != nil:
		wait, err := time.ParseDuration(s.In.Text)
		if err != nil || wait <= 0 || wait > MaxStopDelay {
			return now, fault(*s.In, "in: want a duration such as 10m, at most %s, not %s", MaxStopDelay, s.In.Text)
		}
		return now.Add(wait), nil
	}
	return now, nil
}

func (e *edit) resume(r *Resume) error {
	if _, ok := e.Stops[r.Server.Text]; !ok {
		return fault(r.Server, "no stop of server %s is planned", r.Server.Text)
	}
	delete(e.Stops, r.Server.Text)
	return nil
}
