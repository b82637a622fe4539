package lang

import (
	"strings"
	"time"

	"fuchsiashelf.dev/parts/rule"
)

// reservedPaths are path prefixes that the entry hosts serve themselves.
var reservedPaths = []string{"/v1", "/health", "/ready"}

// checkName checks a name chosen by the operator.
func checkName(w Word) error {
	if len(w.Text) > MaxNameLength {
		return errorAt(w, "the name has more than %d characters", MaxNameLength)
	}
	return nil
}

func (e *edit) createService(s *Service) error {
	e.errorWord = s.Name
	if err := checkName(s.Name); err != nil {
		return err
	}
	if existing, exists := e.Services[s.Name.Text]; exists {
		return errorAt(s.Name, "service %s exists since revision %d", existing.Name, existing.Revision)
	}
	next := rule.Service{Name: s.Name.Text, Retryable: true}
	if s.Model != nil {
		next.Model = s.Model.Text
	}
	if s.Path != nil {
		if err := e.checkPath(s.Path); err != nil {
			return err
		}
		next.Path = s.Path.Text
	}
	return e.setOptions(next, &s.Options)
}

func (e *edit) changeService(s *ServiceChange) error {
	e.errorWord = s.Name
	existing, exists := e.Services[s.Name.Text]
	if !exists {
		return errorAt(s.Name, "there is no service %s", s.Name.Text)
	}
	o := s.Options
	if o.Repeat == "" && o.Ids == "" && o.Guarded == nil && o.Within == nil {
		return &Error{Column: o.Pos.Column, Message: "nothing to change, want repeat, ids, guarded or within"}
	}
	return e.setOptions(existing, &s.Options)
}

// checkPath checks a path prefix against those of the other services and of the
// entry hosts themselves. One prefix may extend another: a call goes to the
// service with the longest matching prefix.
func (e *edit) checkPath(p *PathWord) error {
	word := Word{Pos: p.Pos, Text: p.Text}
	trimmed := strings.TrimSuffix(p.Text, "/")
	for _, prefix := range reservedPaths {
		if trimmed == prefix || strings.HasPrefix(trimmed, prefix+"/") {
			return errorAt(word, "path %s is kept for the entry hosts", p.Text)
		}
	}
	for _, s := range e.Services {
		if s.Path != "" && strings.TrimSuffix(s.Path, "/") == trimmed {
			return errorAt(word, "path %s is taken by service %s", p.Text, s.Name)
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
			return errorAt(*o.Within, "within: want a duration from %s to %s, not %s",
				rule.MinDeadline, rule.MaxDeadline, o.Within.Text)
		}
		s.Deadline = within
	}
	if err := e.checkDeadline(s, o); err != nil {
		return err
	}
	s.Revision = e.Revision
	e.Services[s.Name] = s
	return nil
}

// checkDeadline rejects a deadline longer than Environment.MaxDeadline, on
// which the expiry of claims is based. The entry hosts would shorten it, and
// callers would get less time than the line says.
func (e *edit) checkDeadline(s rule.Service, o *Options) error {
	if s.Retryable || e.env.MaxDeadline == 0 || s.EffectiveDeadline() <= e.env.MaxDeadline {
		return nil
	}
	word := Word{Pos: o.Pos}
	if o.Within != nil {
		word = *o.Within
	}
	return errorAt(word, "within: calls that may not be repeated have at most %s here, not %s",
		e.env.MaxDeadline, s.EffectiveDeadline())
}

func (e *edit) deleteService(name Word) error {
	s, ok := e.Services[name.Text]
	if !ok {
		return errorAt(name, "there is no service %s", name.Text)
	}
	for _, r := range e.Rules {
		if r.Service == s.Name {
			return errorAt(name, "service %s is in use by the rule for %s", s.Name, ruleLabel(r))
		}
	}
	delete(e.Services, s.Name)
	return nil
}
