package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/store"
)

// partition relays connections between the processes of a cluster, so that a
// failure domain can be cut off from the others. Entry hosts reach the store
// through a proxy of their own domain. In the host list, the proxy replaces the
// address of each host of another domain by that of a relay. While two domains are
// cut off from each other, the relays between them hold data back and deliver it
// afterwards, as a network partition does.
type partition struct {
	mu sync.Mutex
	// storeProxies holds the addresses of the store proxies by domain.
	storeProxies map[domain.Name]string
	// relayAddrs holds the addresses of the relays.
	relayAddrs map[relayKey]string
	listeners  []net.Listener
	// entryDomains holds the domains of the entry hosts by name, and hostRevisions the
	// revisions of the host lists that they have received through their store proxies.
	entryDomains  map[string]domain.Name
	hostRevisions map[string]uint64
	// isolated is the domain that is cut off; empty for none.
	isolated domain.Name
	// reconnected is closed when the domain is connected again.
	reconnected chan struct{}
	// blocked counts the relayed connections that hold data back.
	blocked sync.WaitGroup
}

// hostsPath is the path of the host list in the object API.
const hostsPath = "/v1/hosts"

// relayKey names a relay by the domain of its clients and the address of its
// host.
type relayKey struct {
	clientDom domain.Name
	hostAddr  string
}

// EnablePartitions allows failure domains to be cut off from each other. It
// must be called before an entry host starts.
func (c *Cluster) EnablePartitions() {
	c.partition = &partition{
		storeProxies: map[domain.Name]string{}, relayAddrs: map[relayKey]string{}, entryDomains: map[string]domain.Name{},
		hostRevisions: map[string]uint64{},
	}
}

// Partition cuts a failure domain off from the others, but not from the store.
func (c *Cluster) Partition(dom domain.Name) {
	c.partition.mu.Lock()
	defer c.partition.mu.Unlock()
	c.partition.isolated, c.partition.reconnected = dom, make(chan struct{})
}

// Isolate cuts a failure domain off from the others and from the store.
func (c *Cluster) Isolate(dom domain.Name) error {
	c.Partition(dom)
	c.partition.mu.Lock()
	var entries []string
	for name, entryDomain := range c.partition.entryDomains {
		if entryDomain == dom {
			entries = append(entries, name)
		}
	}
	c.partition.mu.Unlock()
	return c.InjectFault(StoreName, "cut", strings.Join(entries, ","), 0)
}

// Reconnect ends the partition. It returns when the data that was held back has
// been delivered.
func (c *Cluster) Reconnect() error {
	c.partition.mu.Lock()
	c.partition.isolated = ""
	close(c.partition.reconnected)
	c.partition.mu.Unlock()
	c.partition.blocked.Wait()
	return c.ClearFaults(StoreName)
}

// storeProxy returns the address of the store proxy of a domain and records
// that the entry host is in that domain.
func (p *partition) storeProxy(name string, dom domain.Name, storeAddr string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryDomains[name] = dom
	if p.storeProxies[dom] != "" {
		return p.storeProxies[dom], nil
	}
	l, err := p.listen()
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: storeAddr})
	// Do not log canceled watches: entry hosts cancel them in normal operation.
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ModifyResponse = func(resp *http.Response) error { return p.rewriteHostList(resp, dom) }
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.recordHostRevision(r)
			proxy.ServeHTTP(w, r)
		}))
	}()
	p.storeProxies[dom] = l.Addr().String()
	return p.storeProxies[dom], nil
}

// recordHostRevision records which host list an entry host has received, which its next
// watch says.
func (p *partition) recordHostRevision(r *http.Request) {
	if r.URL.Path != hostsPath {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostRevisions[r.Header.Get(store.EntryHeader)] = after
}

// refreshHosts raises the revision of the host list, and waits until an entry host has
// received it. While it started, the entry host may have received a list from a peer, with
// the addresses of that peer's relays.
func (c *Cluster) refreshHosts(entry string) error {
	p := c.partition
	p.mu.Lock()
	dom := p.entryDomains[entry]
	p.mu.Unlock()
	if err := c.SetHost(entry, dom, host.Live); err != nil {
		return err
	}
	s, err := c.Get(StoreName)
	if err != nil {
		return err
	}
	list, err := (&store.Client{Address: s.Addresses["serve"]}).Hosts(context.Background(), 0)
	if err != nil {
		return err
	}
	return WaitFor(entry+" receives the host list", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.hostRevisions[entry] >= list.Revision
	})
}

// rewriteHostList replaces the addresses of a host list by those of relays.
func (p *partition) rewriteHostList(resp *http.Response, dom domain.Name) error {
	if resp.Request.URL.Path != hostsPath || resp.StatusCode != http.StatusOK {
		return nil
	}
	var list host.List
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return err
	}
	for i, h := range list.Hosts {
		address, err := p.relayAddr(dom, h.Domain, h.Address)
		if err != nil {
			return err
		}
		list.Hosts[i].Address = address
	}
	value, err := json.Marshal(list)
	if err != nil {
		return err
	}
	resp.Body = io.NopCloser(bytes.NewReader(value))
	resp.ContentLength = int64(len(value))
	resp.Header.Set("Content-Length", strconv.Itoa(len(value)))
	return nil
}

// relayAddr returns the address at which clients in a domain reach a host.
func (p *partition) relayAddr(clientDom, hostDom domain.Name, hostAddr string) (string, error) {
	if clientDom == hostDom {
		return hostAddr, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := relayKey{clientDom, hostAddr}
	if p.relayAddrs[key] != "" {
		return p.relayAddrs[key], nil
	}
	l, err := p.listen()
	if err != nil {
		return "", err
	}
	go p.accept(l, clientDom, hostDom, hostAddr)
	p.relayAddrs[key] = l.Addr().String()
	return p.relayAddrs[key], nil
}

// listen opens a listener that close closes.
func (p *partition) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		p.listeners = append(p.listeners, l)
	}
	return l, err
}

// accept serves one relay.
func (p *partition) accept(l net.Listener, clientDom, hostDom domain.Name, hostAddr string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(conn, clientDom, hostDom, hostAddr)
	}
}

// forward connects to the host and copies data in both directions.
func (p *partition) forward(conn net.Conn, clientDom, hostDom domain.Name, hostAddr string) {
	defer conn.Close()
	p.waitConnected(clientDom, hostDom)()
	out, err := net.Dial("tcp", hostAddr)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	copyAndSignal := func(dst, src net.Conn) {
		p.copyBytes(dst, src, clientDom, hostDom)
		done <- struct{}{}
	}
	go copyAndSignal(out, conn)
	go copyAndSignal(conn, out)
	<-done
}

// copyBytes copies data until either side closes its connection, and holds it
// back while the two domains are cut off from each other.
func (p *partition) copyBytes(dst, src net.Conn, clientDom, hostDom domain.Name) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		release := p.waitConnected(clientDom, hostDom)
		if n > 0 {
			if _, failed := dst.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		release()
		if err != nil {
			return
		}
	}
}

// waitConnected waits while the two domains are cut off from each other. The
// caller calls release when it has delivered the data that it held back.
func (p *partition) waitConnected(clientDom, hostDom domain.Name) (release func()) {
	p.mu.Lock()
	disconnected := p.isolated != "" && (clientDom == p.isolated || hostDom == p.isolated)
	reconnected := p.reconnected
	if disconnected {
		p.blocked.Add(1)
	}
	p.mu.Unlock()
	if !disconnected {
		return func() {}
	}
	<-reconnected
	return p.blocked.Done
}

// close closes all listeners and releases the data that is held back.
func (p *partition) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.listeners {
		_ = l.Close()
	}
	if p.isolated != "" {
		p.isolated = ""
		close(p.reconnected)
	}
}
