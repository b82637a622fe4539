package lang

import (
	"fmt"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
)

// World is what a line is checked against.
type World struct {
	// Hosts is the host list by name.
	Hosts map[string]host.Host
	// Now is the time of the line.
	Now time.Time
}

// Apply changes a configuration, which must be a clone, as the line says. It
// returns the name of the thing changed. A question changes nothing and
// returns an empty name. On an error the configuration is to be thrown away.
func (l *Line) Apply(c *conf.Config, w World) (string, error) {
	c.Revision++
	switch {
	case l.Create != nil && l.Create.Service != nil:
		return l.Create.Service.apply(c)
	case l.Create != nil && l.Create.Pool != nil:
		return l.Create.Pool.apply(c, w)
	case l.Route != nil:
		return l.Route.apply(c)
	case l.Stop != nil:
		return l.Stop.apply(c, w)
	case l.Resume != nil:
		return l.Resume.apply(c)
	}
	return "", nil
}

func (s *Service) apply(c *conf.Config) (string, error) {
	within, err := time.ParseDuration(orZero(s.Within))
	if err != nil || within < 0 {
		return "", &Error{Message: fmt.Sprintf("within %s: want a duration such as 5s", s.Within)}
	}
	c.Services[s.Name] = rule.Service{
		Name: s.Name, Model: s.Model, Path: s.Path,
		Repeat: s.Repeat != "no", FreeID: s.Ids == "free", Guarded: s.Guarded,
		Deadline: within, Revision: c.Revision,
	}
	return "service " + s.Name, nil
}

func orZero(duration string) string {
	if duration == "" {
		return "0s"
	}
	return duration
}

func (p *Pool) apply(c *conf.Config, w World) (string, error) {
	var servers []host.Host
	for _, name := range p.Servers {
		h, ok := w.Hosts[name]
		if !ok {
			return "", &Error{Message: fmt.Sprintf("server %s is not in the host list", name)}
		}
		servers = append(servers, h)
	}
	if p.Model != "" {
		if _, err := chain.Make(p.Layers, servers); err != nil {
			return "", &Error{Message: err.Error()}
		}
	}
	names := slices.Sorted(slices.Values(p.Servers))
	c.Pools[p.Name] = pool.Pool{
		Name: p.Name, Model: p.Model, Layers: p.Layers,
		Servers: slices.Compact(names), Revision: c.Revision,
	}
	return "pool " + p.Name, nil
}

func (r *Route) apply(c *conf.Config) (string, error) {
	if _, ok := c.Services[r.Service]; !ok {
		return "", &Error{Message: fmt.Sprintf("there is no service %s", r.Service)}
	}
	if _, ok := c.Pools[r.Pool]; !ok {
		return "", &Error{Message: fmt.Sprintf("there is no pool %s", r.Pool)}
	}
	c.Rules = slices.DeleteFunc(c.Rules, func(old rule.Rule) bool {
		return old.Service == r.Service && old.Team == r.Team
	})
	c.Rules = append(c.Rules, rule.Rule{
		Service: r.Service, Team: r.Team, Pool: r.Pool, Revision: c.Revision,
	})
	return "route " + r.Service + " " + r.Team, nil
}

func (s *Stop) apply(c *conf.Config, w World) (string, error) {
	if _, ok := w.Hosts[s.Server]; !ok {
		return "", &Error{Message: fmt.Sprintf("server %s is not in the host list", s.Server)}
	}
	at := w.Now
	if s.At != "" {
		clock, err := time.Parse("15:04", s.At)
		if err != nil {
			return "", &Error{Message: fmt.Sprintf("at %s: want a time such as 22:00", s.At)}
		}
		year, month, day := w.Now.UTC().Date()
		at = time.Date(year, month, day, clock.Hour(), clock.Minute(), 0, 0, time.UTC)
		if at.Before(w.Now) {
			at = at.AddDate(0, 0, 1)
		}
	}
	c.Stops[s.Server] = conf.Stop{Server: s.Server, At: at, Revision: c.Revision}
	return "server " + s.Server, nil
}

func (r *Resume) apply(c *conf.Config) (string, error) {
	if _, ok := c.Stops[r.Server]; !ok {
		return "", &Error{Message: fmt.Sprintf("no stop of server %s is planned", r.Server)}
	}
	delete(c.Stops, r.Server)
	return "server " + r.Server, nil
}
