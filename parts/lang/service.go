package lang

import (
	"strings"
	"time"

	"fuchsiashelf.dev/parts/rule"
)

// reserved are path prefixes that the entry hosts answer themselves.
var reserved = []string{"/v1", "/health", "/ready"}

// name checks a name that the operator chose.
func name(w Word) error {
	if len(w.Text) > MaxNameLength {
		return fault(w, "the name has more than %d characters", MaxNameLength)
	}
	return nil
}

func (e *edit) createService(s *Service) error {
	e.at = s.Name
	if err := name(s.Name); err != nil {
		return err
	}
	if old, exists := e.Services[s.Name.Text]; exists {
		return fault(s.Name, "service %s exists since revision %d", old.Name, old.Revision)
	}
	next := rule.Service{Name: s.Name.Text, Retryable: true}
	if s.Model != nil {
		next.Model = s.Model.Text
	}
	if s.Path != nil {
		if err := e.path(s.Path); err != nil {
			return err
		}
		next.Path = s.Path.Text
	}
	return e.setOptions(next, &s.Options)
}

func (e *edit) changeService(s *ServiceChange) error {
	e.at = s.Name
	old, exists := e.Services[s.Name.Text]
	if !exists {
		return fault(s.Name, "there is no service %s", s.Name.Text)
	}
	o := s.Options
	if o.Repeat == "" && o.Ids == "" && o.Guarded == nil && o.Within == nil {
		return &Error{Column: o.Pos.Column, Message: "nothing to change, want repeat, ids, guarded or within"}
	}
	return e.setOptions(old, &s.Options)
}

// path checks a path prefix against those of the other services and of the
// entry hosts themselves. One prefix may lie below another: the longest that
// fits takes a call.
func (e *edit) path(p *PathWord) error {
	at := Word{Pos: p.Pos, Text: p.Text}
	want := strings.TrimSuffix(p.Text, "/")
	for _, taken := range reserved {
		if want == taken || strings.HasPrefix(want, taken+"/") {
			return fault(at, "path %s is kept for the entry hosts", p.Text)
		}
	}
	for _, s := range e.Services {
		if s.Path != "" && strings.TrimSuffix(s.Path, "/") == want {
			return fault(at, "path %s is taken by service %s", p.Text, s.Name)
		}
	}
	return nil
}

func (e *edit) setOptions(s rule.Service, o *Options) error {
	if o.Repeat != "" {
		s.Retryable = o.Repeat == "yes"
	}
	if o.Ids != "" {
		s.OptionalID = o.Ids == "free"
	}
	if o.Guarded != nil {
		s.Guarded = o.Guarded.Value != "no"
	}
	if !s.IsPlain() && !s.Retryable {
		return &Error{Column: o.Pos.Column, Message: "repeat no is for a plain service"}
	}
	if s.Retryable && (s.OptionalID || s.Guarded) {
		return &Error{Column: o.Pos.Column, Message: "ids free and guarded are for a service with repeat no"}
	}
	if o.Within != nil {
		within, err := time.ParseDuration(o.Within.Text)
		if err != nil || within < rule.MinDeadline || within > rule.MaxDeadline {
			return fault(*o.Within, "within: want a duration from %s to %s, not %s",
				rule.MinDeadline, rule.MaxDeadline, o.Within.Text)
		}
		s.Deadline = within
	}
	if err := e.longest(s, o); err != nil {
		return err
	}
	s.Revision = e.Revision
	e.Services[s.Name] = s
	return nil
}

// longest refuses a deadline above what claims are kept for. The entry hosts
// would cut it, and callers would get less time than the line says.
func (e *edit) longest(s rule.Service, o *Options) error {
	if s.Retryable || e.world.MaxDeadline == 0 || s.EffectiveDeadline() <= e.world.MaxDeadline {
		return nil
	}
	at := Word{Pos: o.Pos}
	if o.Within != nil {
		at = *o.Within
	}
	return fault(at, "within: calls that may not be repeated have at most %s here, not %s",
		e.world.MaxDeadline, s.EffectiveDeadline())
}

func (e *edit) deleteService(at Word) error {
	s, ok := e.Services[at.Text]
	if !ok {
		return fault(at, "there is no service %s", at.Text)
	}
	for _, r := range e.Rules {
		if r.Service == s.Name {
			return fault(at, "service %s is in use by the rule for %s", s.Name, label(r))
		}
	}
	delete(e.Services, s.Name)
	return nil
}
