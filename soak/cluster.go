package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"fuchsiashelf.dev/stand/fakes"
	"fuchsiashelf.dev/stand/proxy"
	"fuchsiashelf.dev/stand/sever"
)

// Keys of the first team. The run revokes oldKey at its end.
const (
	currentKey = "key-kept"
	oldKey     = "key-old"
)

const (
	layers = 12
	// callerTimeout limits one request of a caller.
	callerTimeout = 6 * time.Second
	// grace is the grace period of entry hosts, and drainTime how long they may not cut off a
	// request in it.
	grace     = 6 * time.Second
	drainTime = grace * 5 / 6
	// serverRestart is how long servers that crash under a part of a prompt are away.
	serverRestart = 1500 * time.Millisecond
)

// cluster is a fake platform with entry hosts in front of it.
type cluster struct {
	Settings
	platform fakes.Platform
	// client keeps its connections until the entry host closes them.
	client  *http.Client
	entries []*entryHost
	// serverProxies are the proxies in front of backend servers.
	serverProxies []*proxy.Proxy

	disturbances disturbances
	// interruptions records when entry hosts may have ended answers in progress.
	interruptions disturbances

	mu            sync.Mutex
	configVersion int
	servers       []*fakes.Server
	serversAdded  int
	// warmed is the number of requests that warm has sent.
	warmed int
	// exits describes the processes that have ended by themselves.
	exits []string
}

// entryHost is the process of an entry host, with the proxy through which it
// reaches the store.
type entryHost struct {
	cluster                       *cluster
	name, zone                    string
	callerAddr, opsAddr, peerAddr string
	// source is the address from which the process connects to backend servers.
	source     netip.Addr
	storeProxy *proxy.Proxy
	seedAddr   string
	// restartMu is held during a restart of the process.
	restartMu sync.Mutex
	// cut is how the entry host is cut off from all backend servers. The mutex of the
	// cluster guards it.
	cut sever.Mode

	mu      sync.Mutex
	process *process
}

// newCluster starts the platform, eight backend servers for assist, four for
// booking, and the entry hosts, spread over two failure domains. It returns when
// all entry hosts are ready.
func newCluster(s Settings) (*cluster, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: s.Callers}
	c := &cluster{Settings: s, client: &http.Client{Timeout: callerTimeout + time.Second, Transport: transport}}
	c.platform.Excused = func(s *fakes.Server, h fakes.Host, since time.Time) bool {
		// Reports and orders do not identify the host that a pause was requested from.
		return h == "" && c.EntryHosts > 1 || s.SilentSince(since.Add(-disturbanceSlack)) || c.disturbances.any(since, s.Address(), string(h))
	}
	if err := c.platform.Start(); err != nil {
		return nil, err
	}
	for i := range 8 {
		if err := c.addServer("assist", zone(i)); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := c.addServer("booking", zone(i)); err != nil {
			return nil, err
		}
	}
	if err := c.configure(currentKey, oldKey); err != nil {
		return nil, err
	}
	for i := range s.EntryHosts {
		if err := c.addEntryHost(i); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	return c, c.waitReady()
}

// zone returns the failure domain of the i-th server or entry host.
func zone(i int) string { return []string{"a", "b"}[i%2] }

// addServer starts a backend server behind a proxy.
func (c *cluster) addServer(service, zone string) error {
	c.mu.Lock()
	c.serversAdded++
	s := &fakes.Server{ID: fmt.Sprintf("%s-%d", service, c.serversAdded), Service: service, Zone: zone, Slots: 16}
	c.mu.Unlock()
	if service == "assist" {
		s.Model, s.Kind, s.MemoryMB = &fakes.Model{Layers: layers, LayerMB: 1000}, "card", 6000
		s.StepTime, s.LoadTime, s.RestartTime = 8*time.Millisecond, 20*time.Millisecond, serverRestart
	}
	var current *proxy.Proxy
	s.Proxy = func(address string) (string, error) {
		p, err := proxy.New(address)
		if err != nil {
			return "", err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		current = p
		c.serverProxies = append(c.serverProxies, p)
		for _, e := range c.entries {
			if e.cut != sever.Connected {
				err = errors.Join(err, p.Cut(e.source, e.cut))
			}
		}
		return p.Address(), err
	}
	// The address of a process that has ended refuses connections.
	s.OnCrash = func() { c.closeProxy(current) }
	s.OnRestart = c.addRestarted
	if err := c.platform.AddServer(s); err != nil {
		return err
	}
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	return nil
}

// closeProxy closes the proxy of a server that has crashed.
func (c *cluster) closeProxy(p *proxy.Proxy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverProxies = slices.DeleteFunc(c.serverProxies, func(other *proxy.Proxy) bool { return other == p })
	p.Close()
}

// addRestarted adds a server that has replaced one which crashed.
func (c *cluster) addRestarted(next *fakes.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(slices.DeleteFunc(c.servers, (*fakes.Server).Crashed), next)
}

// configure writes a new version of the configuration, with the given keys.
func (c *cluster) configure(keys ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configVersion++
	config := fakes.Config{
		Version: c.configVersion, Keys: keys, Model: fakes.Model{Layers: layers, LayerMB: 1000}, MemoryMB: 6000,
	}
	if c.Silences {
		config.MaxGap = silencesMaxGap
	}
	if c.Teams {
		addTeams(&config)
	}
	return config.Put(&c.platform.Store)
}

// addEntryHost starts an entry host.
func (c *cluster) addEntryHost(i int) error {
	e := &entryHost{cluster: c, name: fmt.Sprintf("entry-%d", i), zone: zone(i), source: netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})}
	for _, address := range []*string{&e.callerAddr, &e.opsAddr, &e.peerAddr} {
		var err error
		if *address, err = fakes.FreeAddress(); err != nil {
			return err
		}
	}
	var err error
	if e.storeProxy, err = proxy.New(c.platform.Address()); err != nil {
		return err
	}
	e.seedAddr = e.peerAddr
	if i > 0 {
		e.seedAddr = c.entries[0].peerAddr
	}
	c.entries = append(c.entries, e)
	return e.start()
}

// host identifies the entry host in the IDs of requests.
func (e *entryHost) host() fakes.Host { return fakes.Host(e.name) }

// shutDown sends SIGTERM, upon which the process drains and exits, and waits until
// it has exited.
func (e *entryHost) shutDown() {
	e.signal(syscall.SIGTERM)
	atEnd := time.AfterFunc(drainTime, func() {
		defer e.cluster.interruptions.begin(e.name)()
		e.wait()
	})
	defer atEnd.Stop()
	e.wait()
}

// waitReady waits until all entry hosts report that they are ready.
func (c *cluster) waitReady() error {
	for _, e := range c.entries {
		ready := false
		for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline) && !ready; time.Sleep(30 * time.Millisecond) {
			resp, err := http.Get("http://" + e.opsAddr + "/ready")
			if err == nil {
				resp.Body.Close()
				ready = resp.StatusCode == http.StatusOK
			}
		}
		if !ready {
			return fmt.Errorf("%s did not become ready", e.name)
		}
	}
	return nil
}

// cutOff cuts an entry host off from all backend servers, or restores its links with
// sever.Connected.
func (c *cluster) cutOff(e *entryHost, mode sever.Mode) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.cut = mode
	var errs []error
	for _, p := range c.serverProxies {
		errs = append(errs, p.Cut(e.source, mode))
	}
	return errors.Join(errs...)
}

// clearFaults ends all faults. Crashed backend servers stay down.
func (c *cluster) clearFaults() {
	c.platform.Store.SetFailureMode(fakes.Healthy)
	for _, e := range c.entries {
		e.storeProxy.SetMode(proxy.Forward)
		e.signal(syscall.SIGCONT)
	}
	c.endPauses()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.serverProxies {
		p.SetMode(proxy.Forward)
	}
	for _, s := range c.servers {
		s.DropResponses(0)
		s.RefuseNext(0)
		s.TruncateAfter(0)
		s.EndLimit()
	}
}

// endPauses makes all servers request no more pauses.
func (c *cluster) endPauses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		s.PauseNext(0, "", 0)
	}
}

// serversOf returns the live servers of a service.
func (c *cluster) serversOf(service string) (list []*fakes.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if s.Service == service {
			list = append(list, s)
		}
	}
	return list
}

// randomServer returns a live server.
func (c *cluster) randomServer(rng *rand.Rand) *fakes.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[rng.IntN(len(c.servers))]
}

// takeServer returns a live server and removes it from the list.
func (c *cluster) takeServer(rng *rand.Rand) *fakes.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := rng.IntN(len(c.servers))
	s := c.servers[i]
	c.servers = append(c.servers[:i], c.servers[i+1:]...)
	return s
}

// close kills all entry hosts and stops the platform and the proxies.
func (c *cluster) close() error {
	for _, e := range c.entries {
		e.signal(syscall.SIGKILL)
		e.wait()
		e.storeProxy.Close()
	}
	c.client.CloseIdleConnections()
	c.platform.Close()
	for _, p := range c.serverProxies {
		p.Close()
	}
	return nil
}

// reply is the response to one request, or the error.
type reply struct {
	status int
	body   string
	err    error
	// start is when the request was sent, took how long it took to the end of the response, and
	// pause how long nothing had arrived then.
	start       time.Time
	took, pause time.Duration
}

// timedReader records when something was last read.
type timedReader struct {
	io.Reader
	last time.Time
}

func (r *timedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.last = time.Now()
	}
	return n, err
}

// send sends a request to entry host e, without retries. events is zero for a
// request to a plain service, and parts are the parts of the prompt.
func (c *cluster) send(e int, id, path, key string, events int, parts ...string) reply {
	req, err := fakes.Request{
		Address: c.entries[e].callerAddr, Path: path, ID: id, Key: key, Body: "body", Timeout: callerTimeout, Events: events, Parts: parts,
	}.HTTP()
	if err != nil {
		return reply{err: err}
	}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{err: err, start: start, took: time.Since(start), pause: time.Since(start)}
	}
	defer resp.Body.Close()
	reader := &timedReader{Reader: resp.Body, last: time.Now()}
	body, err := io.ReadAll(reader)
	return reply{status: resp.StatusCode, body: string(body), err: err, start: start, took: time.Since(start), pause: time.Since(reader.last)}
}
