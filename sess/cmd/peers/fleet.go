package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/parts/certs"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/wire"
)

// measurement is the cost of a fleet of one size, per node.
type measurement struct {
	nodes int
	// bytesPerSecond counts received and sent bytes.
	bytesPerSecond float64
	// cores is the share of one processor core.
	cores       float64
	memoryBytes float64
	// markTime and revisionTime are the times until all nodes know a mark and a
	// revision.
	markTime, revisionTime time.Duration
}

func (p *measurement) print(w io.Writer) {
	fmt.Fprintf(w, "peers-%d-bytes-per-second %.0f\n", p.nodes, p.bytesPerSecond)
	fmt.Fprintf(w, "peers-%d-core-percent %.3f\n", p.nodes, p.cores*100)
	fmt.Fprintf(w, "peers-%d-megabytes %.2f\n", p.nodes, p.memoryBytes/1e6)
	fmt.Fprintf(w, "peers-%d-mark-ms %d\n", p.nodes, p.markTime.Milliseconds())
	fmt.Fprintf(w, "peers-%d-revision-ms %d\n", p.nodes, p.revisionTime.Milliseconds())
}

const (
	domainCount = 5
	// teamsPerNode is the number of teams that each node reports. Of 400 teams,
	// few send requests through one node within the same seconds.
	teamsPerNode = 40
	secret       = "0123456789abcdef0123456789abcdef"
)

// node is one node of the fleet.
type node struct {
	*peer.Peer
	listener net.Listener
	revision atomic.Uint64
}

// fleet runs nodes until its context is canceled.
type fleet struct {
	nodes   []*node
	hosts   map[string]host.Host
	running sync.WaitGroup
	// client and server are the TLS configurations; nil without TLS.
	client, server *tls.Config
}

// issueCerts creates the TLS configurations if secure is set.
func (f *fleet) issueCerts(secure bool) error {
	if !secure {
		return nil
	}
	authority, err := certs.NewAuthority(time.Hour)
	if err != nil {
		return err
	}
	bundle, err := authority.Issue(certs.Entry)
	if err != nil {
		return err
	}
	if f.client, err = bundle.Client(); err != nil {
		return err
	}
	f.server, err = bundle.Server(certs.Entry)
	return err
}

// newFleet creates n nodes with open listeners. They start in run.
func newFleet(n int, secure bool) (*fleet, error) {
	f := &fleet{hosts: map[string]host.Host{}}
	if err := f.issueCerts(secure); err != nil {
		return nil, err
	}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &node{listener: peer.Listener{Listener: listener}}
		if f.server != nil {
			m.listener = tls.NewListener(m.listener, f.server)
		}
		m.Peer = &peer.Peer{
			Name: fmt.Sprintf("entry-%d", i), Address: listener.Addr().String(),
			Domain: domain.Name(fmt.Sprintf("domain-%d", i%domainCount)), Secret: secret, TLS: f.client,
			Hosts: func() map[string]host.Host { return f.hosts },
			Local: m.localState, OnEvent: m.handleEvent, Trace: &trace.Recorder{},
		}
		f.hosts[m.Name] = host.Host{Name: m.Name, Address: m.Address, Domain: m.Domain, Role: host.Entry, State: host.Live}
		f.nodes = append(f.nodes, m)
	}
	return f, nil
}

// localState returns the state that the node reports to its peers.
func (m *node) localState() peer.LocalState {
	state := peer.LocalState{Revision: m.revision.Load(), Usages: make([]peer.Usage, teamsPerNode)}
	for i := range state.Usages {
		state.Usages[i] = peer.Usage{Team: fmt.Sprintf("team-%d", i), Rate: 7.25}
	}
	return state
}

// handleEvent adopts a newer revision at once, as an entry host does after it
// has fetched the configuration.
func (m *node) handleEvent(e peer.Event) {
	newer, ok := e.(peer.NewerConfig)
	if !ok {
		return
	}
	for {
		current := m.revision.Load()
		if newer.Revision <= current {
			return
		}
		if m.revision.CompareAndSwap(current, newer.Revision) {
			m.TriggerRound()
			return
		}
	}
}

// run starts all nodes.
func (f *fleet) run(ctx context.Context) error {
	for _, m := range f.nodes {
		mux := drpcmux.New()
		if err := wire.DRPCRegisterEntry(mux, m.Peer); err != nil {
			return err
		}
		f.running.Go(func() { _ = drpcserver.New(mux).Serve(ctx, m.listener) })
		f.running.Go(func() { _ = m.Run(ctx) })
	}
	return nil
}

// waitForAll waits until a condition is true for all nodes, and returns the
// time that took.
func (f *fleet) waitForAll(condition func(*node) bool) (time.Duration, error) {
	const timeout = time.Minute
	start := time.Now()
	for _, m := range f.nodes {
		for !condition(m) {
			if time.Since(start) > timeout {
				return 0, fmt.Errorf("%s: condition not met within %s", m.Name, timeout)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start), nil
}

// measure runs a fleet of n nodes and measures its cost after the warm-up.
func measure(ctx context.Context, n int, secure bool, warmup, duration time.Duration) (measurement, error) {
	ctx, stop := context.WithCancel(ctx)
	p := measurement{nodes: n}
	before := memoryInUse()
	f, err := newFleet(n, secure)
	if err != nil {
		stop()
		return p, err
	}
	defer f.running.Wait()
	defer stop()
	if err := f.run(ctx); err != nil {
		return p, err
	}
	time.Sleep(warmup)
	bytes, core, start := bytesTransferred(), cpuTime(), time.Now()
	time.Sleep(duration)
	seconds := time.Since(start).Seconds()
	p.bytesPerSecond = float64(bytesTransferred()-bytes) / seconds / float64(n)
	p.cores = (cpuTime() - core).Seconds() / seconds / float64(n)
	p.memoryBytes = float64(memoryInUse()-before) / float64(n)

	mark := peer.Mark{Kind: peer.PoisonRequest, Name: "f00dfeedf00dfeed", Until: time.Now().Add(time.Minute), Count: 2}
	f.nodes[0].Mark(mark)
	p.markTime, err = f.waitForAll(func(m *node) bool { return len(m.Marks(peer.PoisonRequest)) == 1 })
	if err != nil {
		return p, err
	}
	f.nodes[n-1].revision.Store(1)
	f.nodes[n-1].TriggerRound()
	p.revisionTime, err = f.waitForAll(func(m *node) bool { return m.revision.Load() == 1 })
	return p, err
}

// bytesTransferred returns the bytes of all connections, counted at both ends.
func bytesTransferred() int64 {
	total := int64(0)
	for _, name := range []string{"peer.bytes.in", "peer.bytes.out"} {
		total += metrics.GetOrRegisterCounter(name, nil).Count()
	}
	return total
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
