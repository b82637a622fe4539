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

// Client is a client of the object API over HTTP. Set Address before first use.
type Client struct {
	// Address is the host:port of the platform's service.
	Address string
	// Entry is the name of the entry host, sent with each call in EntryHeader;
	// empty for other programs.
	Entry string
	// Wait is how long one watch waits for a change; zero means
	// DefaultWatchTimeout.
	Wait time.Duration
	// Timeout bounds any other call; zero means DefaultTimeout.
	Timeout time.Duration
}

// The defaults of a Client. A long watch causes few calls to the platform; the
// timeout is far above the usual duration of a call, a few milliseconds.
const (
	DefaultWatchTimeout = 20 * time.Second
	DefaultTimeout      = 2 * time.Second
)

// maxResponseBytes bounds the body that is read of one response: a list may
// hold many objects.
const maxResponseBytes = 64 << 20

// EntryHeader is the HTTP header with the name of the entry host that makes a
// call.
const EntryHeader = "Fuchsia-Entry"

const versionHeader = "Object-Version"

var httpClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
	MaxIdleConnsPerHost: 64,
}}

var _ API = (*Client)(nil)

// Get implements [API].
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout())
	defer cancel()
	r, err := c.do(ctx, http.MethodGet, "/v1/objects/"+key, nil, nil)
	if err != nil {
		return Object{}, err
	}
	if r.status == http.StatusNotFound {
		return Object{Key: key}, nil
	}
	if r.status != http.StatusOK {
		return Object{}, unavailable(fault.NotRun, fmt.Errorf("status %d", r.status))
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
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout())
	defer cancel()
	var changes Changes
	err := c.get(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &changes)
	return changes, err
}

// Watch implements [API].
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, c.watchTimeout()+c.callTimeout())
	defer cancel()
	path := fmt.Sprintf("/v1/objects?prefix=%s&after=%d&waitMs=%d",
		url.QueryEscape(prefix), after, c.watchTimeout().Milliseconds())
	var changes Changes
	err := c.get(ctx, path, &changes)
	return changes, err
}

// Hosts implements [API].
func (c *Client) Hosts(ctx context.Context, after uint64) (host.List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.watchTimeout()+c.callTimeout())
	defer cancel()
	path := fmt.Sprintf("/v1/hosts?after=%d", after)
	if after > 0 {
		path += fmt.Sprintf("&waitMs=%d", c.watchTimeout().Milliseconds())
	}
	var list host.List
	err := c.get(ctx, path, &list)
	return list, err
}

func (c *Client) watchTimeout() time.Duration {
	if c.Wait == 0 {
		return DefaultWatchTimeout
	}
	return c.Wait
}

func (c *Client) callTimeout() time.Duration {
	if c.Timeout == 0 {
		return DefaultTimeout
	}
	return c.Timeout
}

func (c *Client) write(ctx context.Context, method, key string, value []byte, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout())
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
	return 0, unavailable(writeVerdict(r.status), fmt.Errorf("status %d", r.status))
}

// writeVerdict returns the verdict of a write that was answered with an error
// status. The platform's interface specification (docs/design/wire.md) says
// that a write answered with 4xx or 503 was not applied. Any other status may
// come after the write took effect, for example from a load balancer that lost
// the reply. If it were NotRun, a line of the operators that is in force would be
// reported as refused.
func writeVerdict(status int) fault.Verdict {
	refused := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if refused || status == http.StatusServiceUnavailable {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

func (c *Client) get(ctx context.Context, path string, target any) error {
	r, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return unavailable(fault.NotRun, fmt.Errorf("status %d", r.status))
	}
	if err := json.Unmarshal(r.body, target); err != nil {
		return unavailable(fault.NotRun, err)
	}
	return nil
}

type response struct {
	status  int
	version uint64
	body    []byte
}

// singleRead is a body that cannot be rewound. It keeps net/http from resending
// a call on its own: only the caller can decide, from the object's version,
// whether to repeat a write.
type singleRead struct{ io.Reader }

func (c *Client) do(ctx context.Context, method, path string, body []byte, version *uint64) (response, error) {
	var reader io.Reader
	if body != nil {
		reader = singleRead{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, reader)
	if err != nil {
		return response{}, unavailable(fault.NotRun, err)
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
	resp, err := httpClient.Do(req)
	if err != nil {
		return response{}, unavailable(fault.SendVerdict(err), err)
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, unavailable(fault.MayHaveRun, err)
	}
	objectVersion, _ := strconv.ParseUint(resp.Header.Get(versionHeader), 10, 64)
	return response{status: resp.StatusCode, version: objectVersion, body: value}, nil
}

func unavailable(v fault.Verdict, cause error) *fault.Error {
	return &fault.Error{
		Code: fault.StoreDown, Verdict: v, Message: "the object API does not answer",
		RetryAfter: time.Second, Cause: cause,
	}
}
