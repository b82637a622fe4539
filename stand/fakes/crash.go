package fakes

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// entryTTL is how long the entry of a crashed server stays in the store.
const entryTTL = 1500 * time.Millisecond

// BadPart is a part of prompts that crashes each engine that begins to answer a request with
// it. It is never the last part of a prompt.
type BadPart struct {
	// Arrivals holds when engines got requests with it, Crashes when engines crashed.
	Arrivals, Crashes []time.Time
}

// The number of crashes from which the entry hosts are expected to know a bad part, and how many
// requests with it may reach engines later.
const (
	crashesToNotice = 5
	lateAllowed     = 3
)

// Noticed returns when the part has crashed so many engines that the entry hosts are expected
// to notice, or when it last crashed one.
func (b BadPart) Noticed() time.Time {
	if len(b.Crashes) == 0 {
		return time.Time{}
	}
	return b.Crashes[min(len(b.Crashes), crashesToNotice)-1]
}

// Late returns how many requests have reached engines later than the window after the part was
// to be noticed, and how many may.
func (b BadPart) Late(window time.Duration) (late, allowed int) {
	if len(b.Crashes) < crashesToNotice {
		return 0, lateAllowed
	}
	for _, at := range b.Arrivals {
		if at.After(b.Noticed().Add(window)) {
			late++
		}
	}
	return late, lateAllowed
}

// CrashOn makes a part crash each engine that begins to answer a request with it.
func (p *Platform) CrashOn(part string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.badParts == nil {
		p.badParts = map[string]*BadPart{}
	}
	p.badParts[part] = &BadPart{}
}

// BadPart returns what has been recorded of a part given to CrashOn.
func (p *Platform) BadPart(part string) BadPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.badParts[part]
	return BadPart{Arrivals: slices.Clone(b.Arrivals), Crashes: slices.Clone(b.Crashes)}
}

// recordBadParts records a time for each bad part of a request, and reports whether it holds
// any.
func (p *Platform) recordBadParts(req *http.Request, record func(*BadPart)) bool {
	var ids []string
	for part := range strings.SplitSeq(req.Header.Get("X-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	for _, id := range ids[:len(ids)-1] {
		if b := p.badParts[id]; b != nil {
			record(b)
			found = true
		}
	}
	return found
}

// crashOnPart crashes the server if the prompt of a request that it begins to answer holds a bad
// part, after the header of the response. The server starts again after its RestartTime.
func (s *Server) crashOnPart(req *http.Request, w *http.ResponseController) bool {
	if !s.platform.recordBadParts(req, func(b *BadPart) { b.Crashes = append(b.Crashes, time.Now()) }) {
		return false
	}
	// The client may have left.
	_ = w.Flush()
	s.crashAndRestart()
	return true
}

// crashAndRestart crashes the server and starts it again after its RestartTime, if it has one.
func (s *Server) crashAndRestart() {
	if s.Crashed() {
		return
	}
	s.Crash()
	if s.OnCrash != nil {
		s.OnCrash()
	}
	if s.RestartTime == 0 {
		return
	}
	s.platform.restarts.Go(func() {
		select {
		case <-s.platform.closing():
		case <-time.After(s.RestartTime):
			if err := s.restart(); err != nil {
				s.platform.recordViolation("%s: no restart: %v", s.ID, err)
			}
		}
	})
	s.platform.restarts.Go(func() {
		select {
		case <-s.platform.closing():
		case <-time.After(entryTTL):
			s.platform.Store.Delete("servers", s.ID)
		}
	})
}

// restart starts another server in place of one that has crashed, under another ID. It has the same
// address, unless there is a proxy.
func (s *Server) restart() error {
	id, _, _ := strings.Cut(s.ID, ".")
	now := time.Now().UnixMilli()
	next := &Server{
		ID: fmt.Sprintf("%s.%d", id, now), Service: s.Service, Zone: s.Zone, Slots: s.Slots, Model: s.Model, Kind: s.Kind,
		MemoryMB: s.MemoryMB, StepTime: s.StepTime, LoadTime: s.LoadTime, RestartTime: s.RestartTime,
		OnCrash: s.OnCrash, OnRestart: s.OnRestart, Proxy: s.Proxy, listen: s.listen,
	}
	if s.Proxy != nil {
		next.listen = ""
	}
	if err := s.platform.startServer(next, now); err != nil {
		return err
	}
	if s.OnRestart != nil {
		s.OnRestart(next)
	}
	return nil
}

// closing returns a channel that is closed when the platform is.
func (p *Platform) closing() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed == nil {
		p.closed = make(chan struct{})
	}
	return p.closed
}
