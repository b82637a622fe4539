package procs

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"fuchsiashelf.dev/stand/proxy"
	"fuchsiashelf.dev/stand/sever"
)

// cuts lets entry hosts be cut off from all backend servers. The servers are listed at the
// addresses of proxies, and each entry host connects from an address of its own. A nil
// cuts does neither.
type cuts struct {
	mu sync.Mutex
	// proxies holds the proxies by the addresses of their servers.
	proxies map[string]*proxy.Proxy
	// sources holds the source addresses of the entry hosts, by name.
	sources map[string]netip.Addr
}

// EnableCuts allows entry hosts to be cut off from all backend servers. It must be called
// before a process starts.
func (c *Cluster) EnableCuts() {
	c.cuts = &cuts{proxies: map[string]*proxy.Proxy{}, sources: map[string]netip.Addr{}}
}

// proxy returns the address at which the server with an address is listed.
func (c *cuts) proxy(address string) (string, error) {
	if c == nil || address == "" {
		return address, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.proxies[address]; p != nil {
		return p.Address(), nil
	}
	p, err := proxy.New(address)
	if err != nil {
		return "", err
	}
	c.proxies[address] = p
	return p.Address(), nil
}

// sourceArgs returns the arguments that give an entry host a source address of its own.
func (c *cuts) sourceArgs(name string) []string {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.sources[name]; !known {
		c.sources[name] = netip.AddrFrom4([4]byte{127, 0, 2, byte(len(c.sources) + 1)})
	}
	return []string{"-source", c.sources[name].String()}
}

// CutOff cuts an entry host off from all backend servers in the given way, or restores its
// links with sever.Connected.
func (c *Cluster) CutOff(entry string, mode sever.Mode) error {
	c.cuts.mu.Lock()
	defer c.cuts.mu.Unlock()
	source, known := c.cuts.sources[entry]
	if !known {
		return fmt.Errorf("%s is no entry host", entry)
	}
	var errs []error
	for _, p := range c.cuts.proxies {
		errs = append(errs, p.Cut(source, mode))
	}
	return errors.Join(errs...)
}

// close stops the proxies.
func (c *cuts) close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.proxies {
		p.Close()
	}
}
