package object

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/stand/inject"
)

// Server serves a Store over HTTP.
type Server struct {
	Store  *Store
	Faults *inject.Set
	// Writes and Reads limit the calls per second; zero means no limit.
	Writes, Reads int
	// HostLag is how far the host list lags behind.
	HostLag time.Duration
}

// Routes adds the routes of the object API and the host list.
func (s *Server) Routes(h *server.Hertz) {
	reads, writes := newRateLimit(s.Reads), newRateLimit(s.Writes)
	h.GET("/v1/objects", s.wrap("list", reads, s.list))
	h.GET("/v1/objects/*key", s.wrap("get", reads, s.get))
	h.PUT("/v1/objects/*key", s.wrap("put", writes, s.put))
	h.DELETE("/v1/objects/*key", s.wrap("delete", writes, s.delete))
	h.GET("/v1/hosts", s.wrap("hosts", reads, s.hosts))
}

// Control adds the routes of the control listener.
func (s *Server) Control(h *server.Hertz) {
	s.Faults.Routes(h)
	hosts := &delayQueue{delay: s.HostLag}
	h.GET("/counts", func(_ context.Context, c *app.RequestContext) {
		if c.Query("by") == "entry" {
			c.JSON(200, s.Store.CallsBy())
			return
		}
		c.JSON(200, s.Store.Calls())
	})
	h.PUT("/hosts", func(_ context.Context, c *app.RequestContext) {
		var added host.Host
		if err := json.Unmarshal(c.Request.Body(), &added); err != nil || added.Name == "" {
			c.String(400, "hosts: need a host with a name: %v", err)
			return
		}
		hosts.do(func() { s.Store.SetHost(added) })
		c.String(200, "set")
	})
	h.DELETE("/hosts/:name", func(_ context.Context, c *app.RequestContext) {
		name := c.Param("name")
		hosts.do(func() { s.Store.DeleteHost(name) })
		c.String(200, "dropped")
	})
	h.POST("/copy", func(_ context.Context, c *app.RequestContext) {
		s.Store.Snapshot()
		c.String(200, "copied")
	})
	h.POST("/restore", func(_ context.Context, c *app.RequestContext) {
		if !s.Store.Restore() {
			c.String(409, "restore: no copy was made")
			return
		}
		c.String(200, "restored")
	})
}

func (s *Server) get(_ context.Context, c *app.RequestContext) {
	o := s.Store.Get(key(c))
	if _, active := s.Faults.Active(StaleReads); active {
		o = s.Store.Previous(key(c))
	}
	if o.Version == 0 {
		c.String(404, "no object")
		return
	}
	c.Header("Object-Version", strconv.FormatUint(o.Version, 10))
	c.Data(200, "application/octet-stream", o.Value)
}

func (s *Server) put(ctx context.Context, c *app.RequestContext) {
	s.write(ctx, c, func(version uint64) (uint64, bool) {
		return s.Store.Put(key(c), c.Request.Body(), version)
	})
}

func (s *Server) delete(ctx context.Context, c *app.RequestContext) {
	s.write(ctx, c, func(version uint64) (uint64, bool) {
		return s.Store.Delete(key(c), version)
	})
}

// write applies a conditional write and the faults that affect writes.
func (s *Server) write(ctx context.Context, c *app.RequestContext, apply func(uint64) (uint64, bool)) {
	version, err := strconv.ParseUint(string(c.GetHeader("If-Match")), 10, 64)
	if err != nil {
		c.String(428, "need If-Match with a version")
		return
	}
	if s.triggerFor(DropWrite, key(c)) {
		closeConn(c)
		return
	}
	current, ok := apply(version)
	s.holdReply(ctx, c)
	if s.triggerFor(DropReply, key(c)) {
		closeConn(c)
		return
	}
	c.Header("Object-Version", strconv.FormatUint(current, 10))
	if !ok {
		c.String(412, "version is %d", current)
		return
	}
	c.String(200, "ok")
}

// holdReply delays the response of a write until the faults are cleared, if
// HoldReply triggers.
func (s *Server) holdReply(ctx context.Context, c *app.RequestContext) {
	released := s.Faults.Cleared()
	if !s.triggerFor(HoldReply, key(c)) {
		return
	}
	s.Store.CountCall("held", entryHost(c))
	select {
	case <-released:
	case <-ctx.Done():
	}
}

func (s *Server) list(ctx context.Context, c *app.RequestContext) {
	prefix := c.Query("prefix")
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	var changes store.Changes
	ok := s.wait(ctx, c, func() (bool, <-chan struct{}) {
		var wake <-chan struct{}
		changes, wake = s.Store.ChangesSince(prefix, after)
		return len(changes.Objects) > 0, wake
	})
	if !ok {
		closeConn(c)
		return
	}
	if _, active := s.Faults.Active(StaleReads); active {
		for i, o := range changes.Objects {
			changes.Objects[i] = s.Store.Previous(o.Key)
		}
	}
	c.JSON(200, changes)
}

func (s *Server) hosts(ctx context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	var list host.List
	ok := s.wait(ctx, c, func() (bool, <-chan struct{}) {
		var wake <-chan struct{}
		list, wake = s.Store.Hosts()
		return list.Revision > after, wake
	})
	if !ok {
		closeConn(c)
		return
	}
	c.JSON(200, list)
}

// wait polls until there is a change, waitMs is over or the client has closed the
// connection. It reports false if a fault ends the wait; the caller then closes
// the connection.
func (s *Server) wait(ctx context.Context, c *app.RequestContext, poll func() (bool, <-chan struct{})) bool {
	ms, _ := strconv.Atoi(c.Query("waitMs"))
	timeout := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timeout.Stop()
	for {
		changed := s.Faults.Changed()
		if ms > 0 && s.breaksWatch(c) {
			return false
		}
		found, wake := poll()
		if found || ms == 0 {
			return true
		}
		select {
		case <-wake:
		case <-changed:
		case <-timeout.C:
			return true
		case <-ctx.Done():
			return true
		}
	}
}

// key returns the object key in the request's path.
func key(c *app.RequestContext) string {
	k := c.Param("key")
	if k != "" && k[0] == '/' {
		return k[1:]
	}
	return k
}
