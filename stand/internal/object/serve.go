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
	// Writes and Reads limit the calls a second; zero means no limit.
	Writes, Reads int
	// HostLag is how far the host list lags behind.
	HostLag time.Duration
}

// Routes adds the calls of the object API and the host list.
func (f *Server) Routes(h *server.Hertz) {
	reads, writes := newLimit(f.Reads), newLimit(f.Writes)
	h.GET("/v1/objects", f.guard("list", reads, f.list))
	h.GET("/v1/objects/*key", f.guard("get", reads, f.get))
	h.PUT("/v1/objects/*key", f.guard("put", writes, f.put))
	h.DELETE("/v1/objects/*key", f.guard("delete", writes, f.remove))
	h.GET("/v1/hosts", f.guard("hosts", reads, f.hosts))
}

// Control adds the calls of the control listener.
func (f *Server) Control(h *server.Hertz) {
	f.Faults.Routes(h)
	hosts := &late{by: f.HostLag}
	h.GET("/counts", func(_ context.Context, c *app.RequestContext) {
		if c.Query("by") == "entry" {
			c.JSON(200, f.Store.CallsBy())
			return
		}
		c.JSON(200, f.Store.Calls())
	})
	h.PUT("/hosts", func(_ context.Context, c *app.RequestContext) {
		var one host.Host
		if err := json.Unmarshal(c.Request.Body(), &one); err != nil || one.Name == "" {
			c.String(400, "hosts: need a host with a name: %v", err)
			return
		}
		hosts.do(func() { f.Store.SetHost(one) })
		c.String(200, "set")
	})
	h.DELETE("/hosts/:name", func(_ context.Context, c *app.RequestContext) {
		name := c.Param("name")
		hosts.do(func() { f.Store.DeleteHost(name) })
		c.String(200, "dropped")
	})
	h.POST("/copy", func(_ context.Context, c *app.RequestContext) {
		f.Store.Snapshot()
		c.String(200, "copied")
	})
	h.POST("/restore", func(_ context.Context, c *app.RequestContext) {
		if !f.Store.Restore() {
			c.String(409, "restore: no copy was made")
			return
		}
		c.String(200, "restored")
	})
}

func (f *Server) get(_ context.Context, c *app.RequestContext) {
	o := f.Store.Get(key(c))
	if _, on := f.Faults.Active(StaleReads); on {
		o = f.Store.Previous(key(c))
	}
	if o.Version == 0 {
		c.String(404, "no object")
		return
	}
	c.Header("Object-Version", strconv.FormatUint(o.Version, 10))
	c.Data(200, "application/octet-stream", o.Value)
}

func (f *Server) put(ctx context.Context, c *app.RequestContext) {
	f.write(ctx, c, func(version uint64) (uint64, bool) {
		return f.Store.Put(key(c), c.Request.Body(), version)
	})
}

func (f *Server) remove(ctx context.Context, c *app.RequestContext) {
	f.write(ctx, c, func(version uint64) (uint64, bool) {
		return f.Store.Delete(key(c), version)
	})
}

func (f *Server) write(ctx context.Context, c *app.RequestContext, act func(uint64) (uint64, bool)) {
	version, err := strconv.ParseUint(string(c.GetHeader("If-Match")), 10, 64)
	if err != nil {
		c.String(428, "need If-Match with a version")
		return
	}
	if f.strikes(DropWrite, key(c)) {
		hangUp(c)
		return
	}
	now, ok := act(version)
	f.hold(ctx, c)
	if f.strikes(DropReply, key(c)) {
		hangUp(c)
		return
	}
	c.Header("Object-Version", strconv.FormatUint(now, 10))
	if !ok {
		c.String(412, "version is %d", now)
		return
	}
	c.String(200, "ok")
}

// hold keeps an answer back until the faults are cleared.
func (f *Server) hold(ctx context.Context, c *app.RequestContext) {
	released := f.Faults.Cleared()
	if !f.strikes(HoldReply, key(c)) {
		return
	}
	f.Store.CountCall("held", entry(c))
	select {
	case <-released:
	case <-ctx.Done():
	}
}

func (f *Server) list(ctx context.Context, c *app.RequestContext) {
	prefix := c.Query("prefix")
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	var changes store.Changes
	whole := f.wait(ctx, c, func() (bool, <-chan struct{}) {
		var wake <-chan struct{}
		changes, wake = f.Store.ChangesSince(prefix, after)
		return len(changes.Objects) > 0, wake
	})
	if !whole {
		hangUp(c)
		return
	}
	if _, on := f.Faults.Active(StaleReads); on {
		for i, o := range changes.Objects {
			changes.Objects[i] = f.Store.Previous(o.Key)
		}
	}
	c.JSON(200, changes)
}

func (f *Server) hosts(ctx context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	var list host.List
	whole := f.wait(ctx, c, func() (bool, <-chan struct{}) {
		var wake <-chan struct{}
		list, wake = f.Store.Hosts()
		return list.Revision > after, wake
	})
	if !whole {
		hangUp(c)
		return
	}
	c.JSON(200, list)
}

// wait polls until there is something new, the caller's wait is over, or the
// caller has gone. It reports false if a fault cuts the wait off.
func (f *Server) wait(ctx context.Context, c *app.RequestContext, poll func() (bool, <-chan struct{})) bool {
	ms, _ := strconv.Atoi(c.Query("waitMs"))
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for {
		changed := f.Faults.Changed()
		if ms > 0 && f.disturbed(c) {
			return false
		}
		found, wake := poll()
		if found || ms == 0 {
			return true
		}
		select {
		case <-wake:
		case <-changed:
		case <-end.C:
			return true
		case <-ctx.Done():
			return true
		}
	}
}

func key(c *app.RequestContext) string {
	k := c.Param("key")
	if k != "" && k[0] == '/' {
		return k[1:]
	}
	return k
}
