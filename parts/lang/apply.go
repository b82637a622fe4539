package lang

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
)

// Environment is what a line is checked against besides the configuration.
type Environment struct {
	// Hosts is the host list by name.
	Hosts map[string]host.Host
	// Now is the time of the line.
	Now time.Time
	// MaxDeadline is the longest time for a call that may not be repeated, as the
	// entry hosts are set; zero means no bound.
	MaxDeadline time.Duration
}

// Apply returns the configuration that the line makes of another one, which
// it leaves alone. The revision grows by one. The error is an *Error; then
// there is no configuration.
func (l *Line) Apply(before *conf.Config, w Environment) (*conf.Config, error) {
	e := &edit{Config: before.Clone(), world: w, before: before, anyway: l.Anyway}
	e.Revision++
	if err := e.line(l); err != nil {
		return nil, err
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	return e.Config, nil
}

// edit is a configuration that is being changed by one line.
type edit struct {
	*conf.Config
	world  Environment
	before *conf.Config
	anyway bool
	// at is the word that an error of the whole configuration points to.
	at Word
}

// fault is an error that points to a word.
func fault(at Word, format string, args ...any) *Error {
	return &Error{Column: at.Pos.Column, Message: fmt.Sprintf(format, args...)}
}

func (e *edit) line(l *Line) error {
	switch {
	case l.Create != nil:
		return e.create(l.Create)
	case l.Change != nil:
		return e.change(l.Change)
	case l.Delete != nil:
		return e.remove(l.Delete)
	case l.Route != nil:
		return e.route(l.Route)
	case l.Add != nil:
		return e.addServer(l.Add)
	case l.Remove != nil:
		return e.removeServer(l.Remove)
	case l.Stop != nil:
		return e.stop(l.Stop)
	case l.Resume != nil:
		return e.resume(l.Resume)
	}
	return &Error{Column: 1, Message: "a question changes nothing"}
}

func (e *edit) create(c *Create) error {
	switch {
	case c.Service != nil:
		return e.createService(c.Service)
	case c.Pool != nil:
		if old, exists := e.Pools[c.Pool.Name.Text]; exists {
			return fault(c.Pool.Name, "pool %s exists since revision %d", old.Name, old.Revision)
		}
		return e.setPool(c.Pool)
	}
	if at := e.findRule(&c.Rule.Target); at >= 0 {
		return fault(c.Rule.Service, "there is a rule for %s since revision %d", c.Rule.label(), e.Rules[at].Revision)
	}
	return e.route(c.Rule)
}

func (e *edit) change(c *Change) error {
	switch {
	case c.Service != nil:
		return e.changeService(c.Service)
	case c.Pool != nil:
		if _, err := e.pool(c.Pool.Name); err != nil {
			return err
		}
		return e.setPool(c.Pool)
	}
	if e.findRule(&c.Rule.Target) < 0 {
		return fault(c.Rule.Service, "there is no rule for %s", c.Rule.label())
	}
	return e.route(c.Rule)
}

func (e *edit) remove(d *Delete) error {
	switch {
	case d.Service != nil:
		return e.deleteService(*d.Service)
	case d.Pool != nil:
		return e.deletePool(*d.Pool)
	}
	at := e.findRule(d.Rule)
	if at < 0 {
		return fault(d.Rule.Service, "there is no rule for %s", d.Rule.label())
	}
	e.Rules = slices.Delete(e.Rules, at, at+1)
	return nil
}

// pool returns a pool that must exist.
func (e *edit) pool(name Word) (pool.Pool, error) {
	p, ok := e.Pools[name.Text]
	if !ok {
		return p, fault(name, "there is no pool %s", name.Text)
	}
	return p, nil
}

func (e *edit) setPool(p *Pool) error {
	e.at = p.Name
	if err := name(p.Name); err != nil {
		return err
	}
	next := pool.Pool{Name: p.Name.Text, Revision: e.Revision}
	if p.Model != nil {
		layers, err := strconv.Atoi(p.Layers.Text)
		if err != nil || layers < 1 || layers > pool.MaxLayers {
			return fault(*p.Layers, "layers: want 1 to %d, not %s", pool.MaxLayers, p.Layers.Text)
		}
		next.Model, next.Layers = p.Model.Text, layers
	}
	for _, s := range p.Servers {
		if err := e.join(&next, s); err != nil {
			return err
		}
	}
	e.Pools[next.Name] = next
	return nil
}

// join adds a server to a pool that is not published yet.
func (e *edit) join(p *pool.Pool, s Word) error {
	if slices.Contains(p.Servers, s.Text) {
		return fault(s, "server %s is in pool %s already", s.Text, p.Name)
	}
	h, listed := e.world.Hosts[s.Text]
	if !listed {
		return fault(s, "server %s is not in the host list", s.Text)
	}
	if err := fits(*p, h); err != nil {
		return fault(s, "%s", err)
	}
	p.Servers = append(slices.Clone(p.Servers), s.Text)
	slices.Sort(p.Servers)
	p.Revision = e.Revision
	return nil
}

func (e *edit) addServer(a *Add) error {
	e.at = a.Server
	p, err := e.pool(a.Pool)
	if err != nil {
		return err
	}
	if err := e.join(&p, a.Server); err != nil {
		return err
	}
	e.Pools[p.Name] = p
	return nil
}

func (e *edit) removeServer(r *Remove) error {
	e.at = r.Server
	p, err := e.pool(r.Pool)
	if err != nil {
		return err
	}
	at := slices.Index(p.Servers, r.Server.Text)
	if at < 0 {
		return fault(r.Server, "server %s is not in pool %s", r.Server.Text, p.Name)
	}
	p.Servers = slices.Delete(slices.Clone(p.Servers), at, at+1)
	p.Revision = e.Revision
	e.Pools[p.Name] = p
	return nil
}

func (e *edit) deletePool(at Word) error {
	p, err := e.pool(at)
	if err != nil {
		return err
	}
	for _, r := range e.Rules {
		if r.Pool == p.Name {
			return fault(at, "pool %s is in use by the rule for %s", p.Name, label(r))
		}
	}
	delete(e.Pools, p.Name)
	return nil
}

// label names a rule of the configuration to operators.
func label(r rule.Rule) string {
	if r.Team == "" {
		return r.Service
	}
	return r.Service + " " + r.Team
}

func (e *edit) findRule(t *Target) int {
	return slices.IndexFunc(e.Rules, func(r rule.Rule) bool {
		return r.Service == t.Service.Text && r.Team == t.team()
	})
}

func (e *edit) route(r *Rule) error {
	e.at = r.Pool
	s, ok := e.Services[r.Service.Text]
	if !ok {
		return fault(r.Service, "there is no service %s", r.Service.Text)
	}
	p, err := e.pool(r.Pool)
	if err != nil {
		return err
	}
	if s.Model != p.Model {
		return fault(r.Pool, "pool %s serves %s, service %s needs %s", p.Name, serves(p.Model), s.Name, serves(s.Model))
	}
	if r.Team != nil {
		if err := name(*r.Team); err != nil {
			return err
		}
	}
	next := rule.Rule{Service: s.Name, Team: r.team(), Pool: p.Name, Revision: e.Revision}
	if at := e.findRule(&r.Target); at >= 0 {
		e.Rules[at] = next
		return nil
	}
	e.Rules = append(e.Rules, next)
	return nil
}

func serves(model string) string {
	if model == "" {
		return "plain services"
	}
	return "model " + model
}
