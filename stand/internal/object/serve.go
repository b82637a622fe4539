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

// The faults of the store.
const (
	// Outage: every call fails with 503.
	Outage inject.Kind = "outage"
	// DropReply: the write takes effect and the connection is closed without
	// an answer.
	DropReply inject.Kind = "drop"
	// Slow: every call takes the given time longer.
	Slow inject.Kind = "slow"
)

// Face serves a Store over HTTP.
type Face struct {
	Store  *Store
	Faults *inject.Set
}

// Routes adds the calls of the object API and the host list.
func (f *Face) Routes(h *server.Hertz) {
	h.GET("/v1/objects", f.guard("list", f.list))
	h.GET("/v1/objects/*key", f.guard("get", f.get))
	h.PUT("/v1/objects/*key", f.guard("put", f.put))
	h.DELETE("/v1/objects/*key", f.guard("delete", f.remove))
	h.GET("/v1/hosts", f.guard("hosts", f.hosts))
}

// Control adds the calls of the control listener.
func (f *Face) Control(h *server.Hertz) {
	f.Faults.Routes(h)
	h.GET("/counts", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, f.Store.Calls())
	})
	h.PUT("/hosts", func(_ context.Context, c *app.RequestContext) {
		var one host.Host
		if err := json.Unmarshal(c.Request.Body(), &one); err != nil || one.Name == "" {
			c.String(400, "hosts: need a host with a name: %v", err)
			return
		}
		f.Store.SetHost(one)
		c.String(200, "set")
	})
	h.DELETE("/hosts/:name", func(_ context.Context, c *app.RequestContext) {
		f.Store.DropHost(c.Param("name"))
		c.String(200, "dropped")
	})
}

func (f *Face) guard(kind string, next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f.Store.Count(kind)
		if slow, on := f.Faults.On(Slow); on {
			wait, _ := time.ParseDuration(slow.Value)
			sleep(ctx, wait)
		}
		if _, on := f.Faults.On(Outage); on {
			c.String(503, "outage")
			return
		}
		next(ctx, c)
	}
}

func (f *Face) get(_ context.Context, c *app.RequestContext) {
	o := f.Store.Get(key(c))
	if o.Version == 0 {
		c.String(404, "no object")
		return
	}
	c.Header("Object-Version", strconv.FormatUint(o.Version, 10))
	c.Data(200, "application/octet-stream", o.Value)
}

func (f *Face) put(_ context.Context, c *app.RequestContext) {
	f.write(c, func(version uint64) (uint64, bool) {
		return f.Store.Put(key(c), c.Request.Body(), version)
	})
}

func (f *Face) remove(_ context.Context, c *app.RequestContext) {
	f.write(c, func(version uint64) (uint64, bool) {
		return f.Store.Delete(key(c), version)
	})
}

func (f *Face) write(c *app.RequestContext, act func(uint64) (uint64, bool)) {
	version, err := strconv.ParseUint(string(c.GetHeader("If-Match")), 10, 64)
	if err != nil {
		c.String(428, "need If-Match with a version")
		return
	}
	now, ok := act(version)
	if _, lost := f.Faults.Strike(DropReply); lost {
		c.GetConn().Close()
		c.Abort()
		return
	}
	c.Header("Object-Version", strconv.FormatUint(now, 10))
	if !ok {
		c.String(412, "version is %d", now)
		return
	}
	c.String(200, "ok")
}

func (f *Face) list(ctx context.Context, c *app.RequestContext) {
	prefix := c.Query("prefix")
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	var changes store.Changes
	f.wait(ctx, c, func() (bool, <-chan struct{}) {
		var wake <-chan struct{}
		changes, wake = f.Store.Since(prefix, after)
		return len(changes.Objects) > 0, wake
	})
	c.JSON(200, changes)
}

func (f *Face) hosts(ctx context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
	var list host.List
	f.wait(ctx, c, func() (bool, <-chan struct{}) {
		var wake <-chan struct{}
		list, wake = f.Store.Hosts()
		return list.Revision > after, wake
	})
	c.JSON(200, list)
}

// wait polls until there is something new, the caller's wait is over, or the
// caller has gone.
func (f *Face) wait(ctx context.Context, c *app.RequestContext, poll func() (bool, <-chan struct{})) {
	ms, _ := strconv.Atoi(c.Query("waitMs"))
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for {
		found, wake := poll()
		if found || ms == 0 {
			return
		}
		select {
		case <-wake:
		case <-end.C:
			return
		case <-ctx.Done():
			return
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
