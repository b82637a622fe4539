package lang

import (
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
)

// MaxStopDelay is how far ahead a stop can be planned.
const MaxStopDelay = 30 * 24 * time.Hour

func (e *edit) stop(s *Stop) error {
	e.errorWord = s.Server
	h, listed := e.env.Hosts[s.Server.Text]
	if !listed {
		return errorAt(s.Server, "server %s is not in the host list", s.Server.Text)
	}
	if h.Role == host.Entry {
		return errorAt(s.Server, "%s is an entry host, want a backend server", s.Server.Text)
	}
	at, err := s.beginTime(e.env.Now)
	if err != nil {
		return err
	}
	e.Stops[s.Server.Text] = conf.Stop{Server: s.Server.Text, At: at, Revision: e.Revision}
	return nil
}

// beginTime returns the time at which the stop begins. A time of day that has
// passed means the next day.
func (s *Stop) beginTime(now time.Time) (time.Time, error) {
	switch {
	case s.At != nil:
		timeOfDay, err := time.Parse("15:04", s.At.Text)
		if err != nil {
			return now, errorAt(Word{Pos: s.At.Pos}, "at: want a time of day (UTC) such as 22:00, not %s", s.At.Text)
		}
		year, month, day := now.UTC().Date()
		at := time.Date(year, month, day, timeOfDay.Hour(), timeOfDay.Minute(), 0, 0, time.UTC)
		if at.Before(now) {
			at = at.AddDate(0, 0, 1)
		}
		return at, nil
	case s.In != nil:
		delay, err := time.ParseDuration(s.In.Text)
		if err != nil || delay <= 0 || delay > MaxStopDelay {
			return now, errorAt(*s.In, "in: want a duration such as 10m, at most %s, not %s", MaxStopDelay, s.In.Text)
		}
		return now.Add(delay), nil
	}
	return now, nil
}

func (e *edit) resume(r *Resume) error {
	if _, ok := e.Stops[r.Server.Text]; !ok {
		return errorAt(r.Server, "no stop of server %s is planned", r.Server.Text)
	}
	delete(e.Stops, r.Server.Text)
	return nil
}
