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

// Environment is what a line is checked against in addition to the
// configuration.
type Environment struct {
	// Hosts is the host list by name.
	Hosts map[string]host.Host
	// Now is the time at which the line is applied.
	Now time.Time
	// MaxDeadline is the longest deadline of a service whose calls may not be
	// repeated, from the settings of the entry hosts; zero means no limit.
	MaxDeadline time.Duration
}

// Apply returns the configuration that results from applying the line to
// before, which is not modified. The revision grows by one. A non-nil error is
// an *Error, and the configuration is then nil.
func (l *Line) Apply(before *conf.Config, env Environment) (*conf.Config, error) {
	e := &edit{Config: before.Clone(), env: env, before: before, force: l.Anyway}
	e.Revision++
	if err := e.apply(l); err != nil {
		return nil, err
	}
	if err := e.checkCoverage(); err != nil {
		return nil, err
	}
	return e.Config, nil
}

// edit is a configuration that is being changed by one line.
type edit struct {
	*conf.Config
	env    Environment
	before *conf.Config
	force  bool
	// errorWord is the word that errors of the whole configuration point to.
	errorWord Word
}

// errorAt returns an error that points to a word.
func errorAt(word Word, format string, args ...any) *Error {
	return &Error{Column: word.Pos.Column, Message: fmt.Sprintf(format, args...)}
}

func (e *edit) apply(l *Line) error {
	switch {
	case l.Create != nil:
		return e.create(l.Create)
	case l.Change != nil:
		return e.change(l.Change)
	case l.Delete != nil:
		return e.delete(l.Delete)
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
		if existing, exists := e.Pools[c.Pool.Name.Text]; exists {
			return errorAt(c.Pool.Name, "pool %s exists since revision %d", existing.Name, existing.Revision)
		}
		return e.setPool(c.Pool)
	}
	if at := e.findRule(&c.Rule.Target); at >= 0 {
		return errorAt(c.Rule.Service, "there is a rule for %s since revision %d", c.Rule.label(), e.Rules[at].Revision)
	}
	return e.route(c.Rule)
}

func (e *edit) change(c *Change) error {
	switch {
	case c.Service != nil:
		return e.changeService(c.Service)
	case c.Pool != nil:
		if _, err := e.findPool(c.Pool.Name); err != nil {
			return err
		}
		return e.setPool(c.Pool)
	}
	if e.findRule(&c.Rule.Target) < 0 {
		return errorAt(c.Rule.Service, "there is no rule for %s", c.Rule.label())
	}
	return e.route(c.Rule)
}

func (e *edit) delete(d *Delete) error {
	switch {
	case d.Service != nil:
		return e.deleteService(*d.Service)
	case d.Pool != nil:
		return e.deletePool(*d.Pool)
	}
	at := e.findRule(d.Rule)
	if at < 0 {
		return errorAt(d.Rule.Service, "there is no rule for %s", d.Rule.label())
	}
	e.Rules = slices.Delete(e.Rules, at, at+1)
	return nil
}

// findPool returns the pool with the name, or an error if there is none.
func (e *edit) findPool(name Word) (pool.Pool, error) {
	p, ok := e.Pools[name.Text]
	if !ok {
		return p, errorAt(name, "there is no pool %s", name.Text)
	}
	return p, nil
}

func (e *edit) setPool(p *Pool) error {
	e.errorWord = p.Name
	if err := checkName(p.Name); err != nil {
		return err
	}
	next := pool.Pool{Name: p.Name.Text, Revision: e.Revision}
	if p.Model != nil {
		layers, err := strconv.Atoi(p.Layers.Text)
		if err != nil || layers < 1 || layers > pool.MaxLayers {
			return errorAt(*p.Layers, "layers: want 1 to %d, not %s", pool.MaxLayers, p.Layers.Text)
		}
		next.Model, next.Layers = p.Model.Text, layers
	}
	for _, s := range p.Servers {
		if err := e.addToPool(&next, s); err != nil {
			return err
		}
	}
	e.Pools[next.Name] = next
	return nil
}

// addToPool adds a server to a pool that has not been stored in the
// configuration yet.
func (e *edit) addToPool(p *pool.Pool, s Word) error {
	if slices.Contains(p.Servers, s.Text) {
		return errorAt(s, "server %s is in pool %s already", s.Text, p.Name)
	}
	h, listed := e.env.Hosts[s.Text]
	if !listed {
		return errorAt(s, "server %s is not in the host list", s.Text)
	}
	if err := checkHost(*p, h); err != nil {
		return errorAt(s, "%s", err)
	}
	p.Servers = append(slices.Clone(p.Servers), s.Text)
	slices.Sort(p.Servers)
	p.Revision = e.Revision
	return nil
}

func (e *edit) addServer(a *Add) error {
	e.errorWord = a.Server
	p, err := e.findPool(a.Pool)
	if err != nil {
		return err
	}
	if err := e.addToPool(&p, a.Server); err != nil {
		return err
	}
	e.Pools[p.Name] = p
	return nil
}

func (e *edit) removeServer(r *Remove) error {
	e.errorWord = r.Server
	p, err := e.findPool(r.Pool)
	if err != nil {
		return err
	}
	at := slices.Index(p.Servers, r.Server.Text)
	if at < 0 {
		return errorAt(r.Server, "server %s is not in pool %s", r.Server.Text, p.Name)
	}
	p.Servers = slices.Delete(slices.Clone(p.Servers), at, at+1)
	p.Revision = e.Revision
	e.Pools[p.Name] = p
	return nil
}

func (e *edit) deletePool(name Word) error {
	p, err := e.findPool(name)
	if err != nil {
		return err
	}
	for _, r := range e.Rules {
		if r.Pool == p.Name {
			return errorAt(name, "pool %s is in use by the rule for %s", p.Name, ruleLabel(r))
		}
	}
	delete(e.Pools, p.Name)
	return nil
}

// ruleLabel returns the name of a rule of the configuration for operators.
func ruleLabel(r rule.Rule) string {
	if r.Team == "" {
		return r.Service
	}
	return r.Service + " " + r.Team
}

func (e *edit) findRule(t *Target) int {
	return slices.IndexFunc(e.Rules, func(r rule.Rule) bool {
		return r.Service == t.Service.Text && r.Team == t.teamName()
	})
}

func (e *edit) route(r *Rule) error {
	e.errorWord = r.Pool
	s, ok := e.Services[r.Service.Text]
	if !ok {
		return errorAt(r.Service, "there is no service %s", r.Service.Text)
	}
	p, err := e.findPool(r.Pool)
	if err != nil {
		return err
	}
	if s.Model != p.Model {
		return errorAt(r.Pool, "pool %s serves %s, service %s needs %s", p.Name, describeModel(p.Model), s.Name, describeModel(s.Model))
	}
	if r.Team != nil {
		if err := checkName(*r.Team); err != nil {
			return err
		}
	}
	next := rule.Rule{Service: s.Name, Team: r.teamName(), Pool: p.Name, Revision: e.Revision}
	if at := e.findRule(&r.Target); at >= 0 {
		e.Rules[at] = next
		return nil
	}
	e.Rules = append(e.Rules, next)
	return nil
}

func describeModel(model string) string {
	if model == "" {
		return "plain services"
	}
	return "model " + model
}
