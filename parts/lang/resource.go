package lang

// Resource returns the name of the resource that the line changes, for example
// "pool lake"; empty for a query. Two lines conflict only if they change the
// same resource.
func (l *Line) Resource() string {
	switch {
	case l.Create != nil:
		return l.Create.resource()
	case l.Change != nil:
		return l.Change.resource()
	case l.Delete != nil:
		return l.Delete.resource()
	case l.Route != nil:
		return l.Route.resource()
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

func (c *Create) resource() string {
	switch {
	case c.Service != nil:
		return "service " + c.Service.Name.Text
	case c.Pool != nil:
		return "pool " + c.Pool.Name.Text
	}
	return c.Rule.resource()
}

func (c *Change) resource() string {
	switch {
	case c.Service != nil:
		return "service " + c.Service.Name.Text
	case c.Pool != nil:
		return "pool " + c.Pool.Name.Text
	}
	return c.Rule.resource()
}

func (d *Delete) resource() string {
	switch {
	case d.Service != nil:
		return "service " + d.Service.Text
	case d.Pool != nil:
		return "pool " + d.Pool.Text
	}
	return d.Rule.resource()
}

func (t *Target) resource() string {
	return "rule " + t.label()
}

// label returns the name of the rule for operators.
func (t *Target) label() string {
	if t.Team == nil {
		return t.Service.Text
	}
	return t.Service.Text + " " + t.Team.Text
}

func (t *Target) teamName() string {
	if t.Team == nil {
		return ""
	}
	return t.Team.Text
}
