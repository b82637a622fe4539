package soak

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fuchsiashelf.dev/soak/proxy"
	"fuchsiashelf.dev/stand/fakes"
)

// The keys of the only team: one that it keeps, and one that is taken away.
const (
	currentKey = "key-kept"
	oldKey     = "key-old"
)

const (
	layers = 12
	// patience is how long a caller waits.
	patience = 6 * time.Second
)

// town is the platform with the entry hosts in front of it.
type town struct {
	Settings
	world   fakes.Platform
	entries []*entry
	// links are the proxies in front of servers.
	links []*proxy.Proxy

	mu      sync.Mutex
	version int
	servers []*fakes.Server
	born    int
}

// entry is an entry host: a process, and the proxy between it and the store.
type entry struct {
	town                *town
	name, zone          string
	callers, ops, peers string
	store               *proxy.Proxy
	seeds               string
	// life is held while the process is ended and another one started.
	life sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newTown(s Settings) (*town, error) {
	t := &town{Settings: s}
	if err := t.world.Start(); err != nil {
		return nil, err
	}
	for i := range 8 {
		if err := t.add("assist", zone(i)); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := t.add("booking", zone(i)); err != nil {
			return nil, err
		}
	}
	if err := t.configure(currentKey, oldKey); err != nil {
		return nil, err
	}
	for i := range s.EntryHosts {
		if err := t.enter(i); err != nil {
			return nil, errors.Join(err, t.close())
		}
	}
	return t, t.ready()
}

func zone(i int) string { return []string{"a", "b"}[i%2] }

// add starts a server behind a proxy.
func (t *town) add(service, zone string) error {
	t.mu.Lock()
	t.born++
	r := &fakes.Server{ID: fmt.Sprintf("%s-%d", service, t.born), Service: service, Zone: zone, Slots: 16}
	t.mu.Unlock()
	if service == "assist" {
		r.Model, r.Kind, r.MemoryMB = &fakes.Model{Layers: layers, LayerMB: 1000}, "card", 6000
		r.StepTime, r.LoadTime = 8*time.Millisecond, 20*time.Millisecond
	}
	r.Proxy = func(address string) (string, error) {
		p, err := proxy.New(address)
		if err != nil {
			return "", err
		}
		t.mu.Lock()
		t.links = append(t.links, p)
		t.mu.Unlock()
		return p.Address(), nil
	}
	if err := t.world.AddServer(r); err != nil {
		return err
	}
	t.mu.Lock()
	t.servers = append(t.servers, r)
	t.mu.Unlock()
	return nil
}

// configure writes a configuration with the given keys.
func (t *town) configure(keys ...string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	return fakes.Config{
		Version: t.version, Keys: keys, Model: fakes.Model{Layers: layers, LayerMB: 1000}, MemoryMB: 6000,
	}.Put(&t.world.Store)
}

// enter starts an entry host.
func (t *town) enter(i int) error {
	e := &entry{town: t, name: fmt.Sprintf("entry-%d", i), zone: zone(i)}
	for _, address := range []*string{&e.callers, &e.ops, &e.peers} {
		var err error
		if *address, err = fakes.FreeAddress(); err != nil {
			return err
		}
	}
	var err error
	if e.store, err = proxy.New(t.world.Address()); err != nil {
		return err
	}
	e.seeds = e.peers
	if i > 0 {
		e.seeds = t.entries[0].peers
	}
	t.entries = append(t.entries, e)
	return e.begin()
}

// begin starts the process of an entry host.
func (e *entry) begin() error {
	file := filepath.Join(e.town.Dir, e.name+".yaml")
	text := fakes.Settings{
		Name: e.name, Zone: e.zone, Callers: e.callers, Ops: e.ops, Peers: e.peers, Seed: e.seeds, Store: e.store.Address(), GraceSeconds: 6,
	}.YAML()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.town.Dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(e.town.Program)
	cmd.Env = append(os.Environ(), fakes.FileVariable+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	if e.town.OnStart != nil {
		e.town.OnStart(cmd.Process)
	}
	done := make(chan struct{})
	go func() {
		// How it ended is told by what callers see.
		_ = cmd.Wait()
		close(done)
	}()
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// It may have ended already.
	_ = e.cmd.Process.Signal(s)
}

// wait waits for the end of the process.
func (e *entry) wait() {
	e.mu.Lock()
	done := e.done
	e.mu.Unlock()
	<-done
}

// terminate stops the process as planned.
func (e *entry) terminate() {
	e.signal(syscall.SIGTERM)
	e.wait()
}

// ready waits until all entry hosts say so.
func (t *town) ready() error {
	for _, e := range t.entries {
		ready := false
		for end := time.Now().Add(settleTime); time.Now().Before(end) && !ready; time.Sleep(30 * time.Millisecond) {
			resp, err := http.Get("http://" + e.ops + "/ready")
			if err == nil {
				resp.Body.Close()
				ready = resp.StatusCode == http.StatusOK
			}
		}
		if !ready {
			return fmt.Errorf("%s is never ready", e.name)
		}
	}
	return nil
}

// heal ends all faults but those that are for good.
func (t *town) heal() {
	t.world.Store.SetFailureMode(fakes.Healthy)
	for _, e := range t.entries {
		e.store.SetMode(proxy.Pass)
		e.signal(syscall.SIGCONT)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.links {
		p.SetMode(proxy.Pass)
	}
	for _, r := range t.servers {
		r.DropAnswers(0)
		r.RefuseNext(0)
		r.TruncateAfter(0)
	}
}

func (t *town) close() error {
	for _, e := range t.entries {
		e.signal(syscall.SIGKILL)
		e.wait()
		e.store.Close()
	}
	t.world.Close()
	for _, p := range t.links {
		p.Close()
	}
	return nil
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	err    error
}

// send makes one attempt of a caller; events is zero for a plain service.
func (t *town) send(e int, id, path, key string, events int) reply {
	req, err := fakes.Request{
		Address: t.entries[e].callers, Path: path, ID: id, Key: key, Body: "body", Timeout: patience, Events: events,
	}.HTTP()
	if err != nil {
		return reply{err: err}
	}
	client := &http.Client{Timeout: patience + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), err: err}
}
