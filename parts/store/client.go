package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
)

// Client speaks the object API over HTTP. Set Address before first use.
type Client struct {
	// Address is host:port of the platform's service.
	Address string
	// Entry is the name of the entry host, sent with each call in
	// EntryHeader; empty for other programs.
	Entry string
	// Wait is how long one watch waits for a change; zero means DefaultWait.
	Wait time.Duration
	// Timeout bounds any other call; zero means DefaultTimeout.
	Timeout time.Duration
}

// The defaults of a Client. A watch that waits long costs the platform few
// calls; the timeout is far above its usual few milliseconds.
const (
	DefaultWatchTimeout = 20 * time.Second
	DefaultTimeout      = 2 * time.Second
)

// maxValue bounds what is read of one answer: a list may hold many objects.
const maxValue = 64 << 20

// EntryHeader names the entry host that makes a call.
const EntryHeader = "Fuchsia-Entry"

const versionHeader = "Object-Version"

var transport = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
	MaxIdleConnsPerHost: 64,
}}

var _ API = (*Client)(nil)

// Get implements [API].
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r, err := c.do(ctx, http.MethodGet, "/v1/objects/"+key, nil, nil)
	if err != nil {
		return Object{}, err
	}
	if r.status == http.StatusNotFound {
		return Object{Key: key}, nil
	}
	if r.status != http.StatusOK {
		return Object{}, down(fault.NotRun, fmt.Errorf("status %d", r.status))
	}
	return Object{Key: key, Version: r.version, Value: r.body}, nil
}

// Put implements [API].
func (c *Client) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	return c.write(ctx, http.MethodPut, key, value, version)
}

// Delete implements [API].
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, version)
	return err
}

// List implements [API].
func (c *Client) List(ctx context.Context, prefix string) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var changes Changes
	err := c.ask(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &changes)
	return changes, err
}

// Watch implements [API].
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait()+c.timeout())
	defer cancel()
	path := fmt.Sprintf("/v1/objects?prefix=%s&after=%d&waitMs=%d",
		url.QueryEscape(prefix), after, c.wait().Milliseconds())
	var changes Changes
	err := c.ask(ctx, path, &changes)
	return changes, err
}

// Hosts implements [API].
func (c *Client) Hosts(ctx context.Context, after uint64) (host.List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait()+c.timeout())
	defer cancel()
	path := fmt.Sprintf("/v1/hosts?after=%d", after)
	if after > 0 {
		path += fmt.Sprintf("&waitMs=%d", c.wait().Milliseconds())
	}
	var list host.List
	err := c.ask(ctx, path, &list)
	return list, err
}

func (c *Client) wait() time.Duration {
	if c.Wait == 0 {
		return DefaultWatchTimeout
	}
	return c.Wait
}

func (c *Client) timeout() time.Duration {
	if c.Timeout == 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

func (c *Client) write(ctx context.Context, method, key string, value []byte, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r, err := c.do(ctx, method, "/v1/objects/"+key, value, &version)
	if err != nil {
		return 0, err
	}
	switch r.status {
	case http.StatusOK:
		return r.version, nil
	case http.StatusPreconditionFailed:
		return r.version, &fault.Error{
			Code: fault.Conflict, Verdict: fault.NotRun,
			Message: fmt.Sprintf("%s is at version %d", key, r.version),
		}
	}
	return 0, down(failing(r.status), fmt.Errorf("status %d", r.status))
}

// failing is the verdict of a write that was answered with an error status.
// The platform's form (docs/design/wire.md) says of 4xx and 503 that the
// write was not taken. Any other may come after the write took effect, for
// example from a balancer that lost its answer; taken for not run, a line in
// force would be answered with refused.
func failing(status int) fault.Verdict {
	refused := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if refused || status == http.StatusServiceUnavailable {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

func (c *Client) ask(ctx context.Context, path string, into any) error {
	r, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return down(fault.NotRun, fmt.Errorf("status %d", r.status))
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return down(fault.NotRun, err)
	}
	return nil
}

type reply struct {
	status  int
	version uint64
	body    []byte
}

// once is a body that cannot be read twice. With it net/http never resends a
// call by itself; whether a write is repeated is decided by its version.
type once struct{ io.Reader }

func (c *Client) do(ctx context.Context, method, path string, body []byte, version *uint64) (reply, error) {
	var from io.Reader
	if body != nil {
		from = once{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, from)
	if err != nil {
		return reply{}, down(fault.NotRun, err)
	}
	if body != nil {
		req.ContentLength = int64(len(body))
	}
	if version != nil {
		req.Header.Set("If-Match", strconv.FormatUint(*version, 10))
	}
	if c.Entry != "" {
		req.Header.Set(EntryHeader, c.Entry)
	}
	resp, err := transport.Do(req)
	if err != nil {
		return reply{}, down(fault.SendVerdict(err), err)
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxValue))
	if err != nil {
		return reply{}, down(fault.MayHaveRun, err)
	}
	at, _ := strconv.ParseUint(resp.Header.Get(versionHeader), 10, 64)
	return reply{status: resp.StatusCode, version: at, body: value}, nil
}

func down(v fault.Verdict, cause error) *fault.Error {
	return &fault.Error{
		Code: fault.StoreDown, Verdict: v, Message: "the object API does not answer",
		RetryAfter: time.Second, Cause: cause,
	}
}
