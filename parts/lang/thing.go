package lang

// Resource returns the name of what the line changes, for example "pool lake";
// empty for a question. Two lines clash only if they change the same thing.
func (l *Line) Resource() string {
	switch {
	case l.Create != nil:
		return l.Create.thing()
	case l.Change != nil:
		return l.Change.thing()
	case l.Delete != nil:
		return l.Delete.thing()
	case l.Route != nil:
		return l.Route.thing()
	case l.Add != nil:
		return "pool " + l.Add.Pool.Text
	case l.Remove != nil:
		return "pool " + l.Remove.Pool.Text
	case l.Stop != nil:
		return "server " + l.Stop.Server.Text
	case l.Resume != nil:
		return "server " + l.Resume.Server.Text
	}
	return ""
}

func (c *Create) thing() string {
	switch {
	case c.Service != nil:
		return "service " + c.Service.Name.Text
	case c.Pool != nil:
		return "pool " + c.Pool.Name.Text
	}
	return c.Rule.thing()
}

func (c *Change) thing() string {
	switch {
	case c.Service != nil:
		return "service " + c.Service.Name.Text
	case c.Pool != nil:
		return "pool " + c.Pool.Name.Text
	}
	return c.Rule.thing()
}

func (d *Delete) thing() string {
	switch {
	case d.Service != nil:
		return "service " + d.Service.Text
	case d.Pool != nil:
		return "pool " + d.Pool.Text
	}
	return d.Rule.thing()
}

func (t *Target) thing() string {
	return "rule " + t.label()
}

// label names a rule to operators.
func (t *Target) label() string {
	if t.Team == nil {
		return t.Service.Text
	}
	return t.Service.Text + " " + t.Team.Text
}

func (t *Target) team() string {
	if t.Team == nil {
		return ""
	}
	return t.Team.Text
}
