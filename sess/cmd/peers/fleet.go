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

// point is what one size of the fleet cost, for each node.
type point struct {
	nodes int
	// bytes is per second, in and out together.
	bytes float64
	// core is the share of one processor core.
	core float64
	// memory is in bytes.
	memory float64
	// mark and revision are the times until all nodes know.
	mark, revision time.Duration
}

func (p *point) print(w io.Writer) {
	fmt.Fprintf(w, "peers-%d-bytes-per-second %.0f\n", p.nodes, p.bytes)
	fmt.Fprintf(w, "peers-%d-core-percent %.3f\n", p.nodes, p.core*100)
	fmt.Fprintf(w, "peers-%d-megabytes %.2f\n", p.nodes, p.memory/1e6)
	fmt.Fprintf(w, "peers-%d-mark-ms %d\n", p.nodes, p.mark.Milliseconds())
	fmt.Fprintf(w, "peers-%d-revision-ms %d\n", p.nodes, p.revision.Milliseconds())
}

const (
	domains = 5
	// teams is how many teams each node reports; of 400 teams few are busy
	// on one node in the same seconds.
	teams  = 40
	secret = "0123456789abcdef0123456789abcdef"
)

// member is one node of the fleet.
type member struct {
	*peer.Peer
	listener net.Listener
	revision atomic.Uint64
}

// fleet runs nodes until its context ends.
type fleet struct {
	nodes []*member
	hosts map[string]host.Host
	done  sync.WaitGroup
	// client and server are the settings of TLS; nil for none.
	client, server *tls.Config
}

// certify gives the fleet a certificate, if it is to be secure.
func (f *fleet) certify(secure bool) error {
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

func newFleet(n int, secure bool) (*fleet, error) {
	f := &fleet{hosts: map[string]host.Host{}}
	if err := f.certify(secure); err != nil {
		return nil, err
	}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{listener: peer.Listener{Listener: listener}}
		if f.server != nil {
			m.listener = tls.NewListener(m.listener, f.server)
		}
		m.Peer = &peer.Peer{
			Name: fmt.Sprintf("entry-%d", i), Address: listener.Addr().String(),
			Domain: domain.Name(fmt.Sprintf("domain-%d", i%domains)), Secret: secret, TLS: f.client,
			Hosts: func() map[string]host.Host { return f.hosts },
			Local: m.own, OnEvent: m.on, Trace: &trace.Recorder{},
		}
		f.hosts[m.Name] = host.Host{Name: m.Name, Address: m.Address, Domain: m.Domain, Role: host.Entry, State: host.Live}
		f.nodes = append(f.nodes, m)
	}
	return f, nil
}

func (m *member) own() peer.LocalState {
	own := peer.LocalState{Revision: m.revision.Load(), Usages: make([]peer.Usage, teams)}
	for i := range own.Usages {
		own.Usages[i] = peer.Usage{Team: fmt.Sprintf("team-%d", i), Rate: 7.25}
	}
	return own
}

// on takes a newer revision at once, as a daemon does after it has fetched
// the configuration.
func (m *member) on(e peer.Event) {
	newer, ok := e.(peer.NewerConfig)
	if !ok {
		return
	}
	for {
		old := m.revision.Load()
		if newer.Revision <= old {
			return
		}
		if m.revision.CompareAndSwap(old, newer.Revision) {
			m.TriggerRound()
			return
		}
	}
}

func (f *fleet) run(ctx context.Context) error {
	for _, m := range f.nodes {
		mux := drpcmux.New()
		if err := wire.DRPCRegisterEntry(mux, m.Peer); err != nil {
			return err
		}
		f.done.Go(func() { _ = drpcserver.New(mux).Serve(ctx, m.listener) })
		f.done.Go(func() { _ = m.Run(ctx) })
	}
	return nil
}

// until waits until a look is true of all nodes.
func (f *fleet) until(look func(*member) bool) (time.Duration, error) {
	const longest = time.Minute
	began := time.Now()
	for _, m := range f.nodes {
		for !look(m) {
			if time.Since(began) > longest {
				return 0, fmt.Errorf("%s did not learn within %s", m.Name, longest)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began), nil
}

func measure(ctx context.Context, n int, secure bool, warm, span time.Duration) (point, error) {
	ctx, stop := context.WithCancel(ctx)
	p := point{nodes: n}
	before := memory()
	f, err := newFleet(n, secure)
	if err != nil {
		stop()
		return p, err
	}
	defer f.done.Wait()
	defer stop()
	if err := f.run(ctx); err != nil {
		return p, err
	}
	time.Sleep(warm)
	bytes, core, began := transferred(), processor(), time.Now()
	time.Sleep(span)
	seconds := time.Since(began).Seconds()
	p.bytes = float64(transferred()-bytes) / seconds / float64(n)
	p.core = (processor() - core).Seconds() / seconds / float64(n)
	p.memory = float64(memory()-before) / float64(n)

	mark := peer.Mark{Kind: peer.PoisonRequest, Name: "f00dfeedf00dfeed", Until: time.Now().Add(time.Minute), Count: 2}
	f.nodes[0].Mark(mark)
	p.mark, err = f.until(func(m *member) bool { return len(m.Marks(peer.PoisonRequest)) == 1 })
	if err != nil {
		return p, err
	}
	f.nodes[n-1].revision.Store(1)
	f.nodes[n-1].TriggerRound()
	p.revision, err = f.until(func(m *member) bool { return m.revision.Load() == 1 })
	return p, err
}

// transferred returns the bytes of all connections, at both of their ends.
func transferred() int64 {
	total := int64(0)
	for _, name := range []string{"peer.bytes.in", "peer.bytes.out"} {
		total += metrics.GetOrRegisterCounter(name, nil).Count()
	}
	return total
}

// processor returns the processor time of the process.
func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the bytes of heap and stacks in use.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
