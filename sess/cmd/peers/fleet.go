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

func (m *measurement) print(w io.Writer) {
	fmt.Fprintf(w, "peers-%d-bytes-per-second %.0f\n", m.nodes, m.bytesPerSecond)
	fmt.Fprintf(w, "peers-%d-core-percent %.3f\n", m.nodes, m.cores*100)
	fmt.Fprintf(w, "peers-%d-megabytes %.2f\n", m.nodes, m.memoryBytes/1e6)
	fmt.Fprintf(w, "peers-%d-mark-ms %d\n", m.nodes, m.markTime.Milliseconds())
	fmt.Fprintf(w, "peers-%d-revision-ms %d\n", m.nodes, m.revisionTime.Milliseconds())
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

// newFleet creates nodes with open listeners; run starts them.
func newFleet(size int, secure bool) (*fleet, error) {
	f := &fleet{hosts: map[string]host.Host{}}
	if err := f.issueCerts(secure); err != nil {
		return nil, err
	}
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		n := &node{listener: peer.Listener{Listener: listener}}
		if f.server != nil {
			n.listener = tls.NewListener(n.listener, f.server)
		}
		n.Peer = &peer.Peer{
			Name: fmt.Sprintf("entry-%d", i), Address: listener.Addr().String(),
			Domain: domain.Name(fmt.Sprintf("domain-%d", i%domainCount)), Secret: secret, TLS: f.client,
			Hosts: func() map[string]host.Host { return f.hosts },
			Local: n.localState, OnEvent: n.handleEvent, Trace: &trace.Recorder{},
		}
		f.hosts[n.Name] = host.Host{Name: n.Name, Address: n.Address, Domain: n.Domain, Role: host.Entry, State: host.Live}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// localState returns the state that the node reports to its peers.
func (n *node) localState() peer.LocalState {
	state := peer.LocalState{Revision: n.revision.Load(), Usages: make([]peer.Usage, teamsPerNode)}
	for i := range state.Usages {
		state.Usages[i] = peer.Usage{Team: fmt.Sprintf("team-%d", i), Rate: 7.25}
	}
	return state
}

// handleEvent adopts a newer revision at once, as an entry host does after it
// has fetched the configuration.
func (n *node) handleEvent(e peer.Event) {
	newer, ok := e.(peer.NewerConfig)
	if !ok {
		return
	}
	for {
		current := n.revision.Load()
		if newer.Revision <= current {
			return
		}
		if n.revision.CompareAndSwap(current, newer.Revision) {
			n.TriggerRound()
			return
		}
	}
}

// run starts all nodes.
func (f *fleet) run(ctx context.Context) error {
	for _, n := range f.nodes {
		mux := drpcmux.New()
		if err := wire.DRPCRegisterEntry(mux, n.Peer); err != nil {
			return err
		}
		f.running.Go(func() { _ = drpcserver.New(mux).Serve(ctx, n.listener) })
		f.running.Go(func() { _ = n.Run(ctx) })
	}
	return nil
}

// waitForAll waits until a condition is true for all nodes, and returns the
// time that took.
func (f *fleet) waitForAll(condition func(*node) bool) (time.Duration, error) {
	const timeout = time.Minute
	start := time.Now()
	for _, n := range f.nodes {
		for !condition(n) {
			if time.Since(start) > timeout {
				return 0, fmt.Errorf("%s: condition not met within %s", n.Name, timeout)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start), nil
}

// measure runs a fleet of the given size and measures its cost after the warm-up.
func measure(ctx context.Context, size int, secure bool, warmup, duration time.Duration) (measurement, error) {
	ctx, stop := context.WithCancel(ctx)
	m := measurement{nodes: size}
	before := memoryInUse()
	f, err := newFleet(size, secure)
	if err != nil {
		stop()
		return m, err
	}
	defer f.running.Wait()
	defer stop()
	if err := f.run(ctx); err != nil {
		return m, err
	}
	time.Sleep(warmup)
	bytes, core, start := bytesTransferred(), cpuTime(), time.Now()
	time.Sleep(duration)
	seconds := time.Since(start).Seconds()
	m.bytesPerSecond = float64(bytesTransferred()-bytes) / seconds / float64(size)
	m.cores = (cpuTime() - core).Seconds() / seconds / float64(size)
	m.memoryBytes = float64(memoryInUse()-before) / float64(size)

	mark := peer.Mark{Kind: peer.PoisonRequest, Name: "f00dfeedf00dfeed", Until: time.Now().Add(time.Minute), Count: 2}
	f.nodes[0].Mark(mark)
	m.markTime, err = f.waitForAll(func(n *node) bool { return len(n.Marks(peer.PoisonRequest)) == 1 })
	if err != nil {
		return m, err
	}
	f.nodes[size-1].revision.Store(1)
	f.nodes[size-1].TriggerRound()
	m.revisionTime, err = f.waitForAll(func(n *node) bool { return n.revision.Load() == 1 })
	return m, err
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
