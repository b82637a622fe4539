package watch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/parts/wire"
)

// primeAsks is how many peers are asked at a start. The store's copy and that
// of one peer would do while nothing else fails; more are asked since peers
// may be cut off themselves. All others are heard through the exchange
// between entry hosts.
const primeAsks = 8

// primeWait bounds one question.
const primeWait = time.Second

// HasSynced reports whether this entry host has asked both the store and its
// peers for the newest configuration, and has one. Callers that came earlier
// could be routed by a configuration that was replaced long ago: during an
// outage of the store the newest is known to the peers alone, and after a
// restore from an older copy the store's is not the newest.
func (f *Watcher) HasSynced() bool {
	snap := f.View.Load()
	return f.primed.Load() && snap.Config != nil && snap.HostsRevision > 0 && snap.Teams != nil
}

// prime asks peers until one answered, or until the store answered and no
// peer did.
func (f *Watcher) prime(ctx context.Context) {
	for ctx.Err() == nil {
		listed := f.listed.Load() && f.View.Load().HostsRevision > 0
		if f.askPeers(ctx) || listed {
			f.primed.Store(true)
			return
		}
		wait.For(ctx, retryWait)
	}
}

// askPeers asks some peers for what they have. It reports whether one
// answered.
func (f *Watcher) askPeers(ctx context.Context) bool {
	if f.Peers == nil {
		return false
	}
	peers := f.Peers.Others()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range f.Seeds {
		known := slices.ContainsFunc(peers, func(h host.Host) bool { return h.Address == address })
		if !known {
			peers = append(peers, host.Host{Name: address, Address: address})
		}
	}
	answers := make(chan bool)
	peers = peers[:min(len(peers), primeAsks)]
	for _, h := range peers {
		go func() { answers <- f.askPeer(ctx, h) }()
	}
	any := false
	for range peers {
		any = <-answers || any
	}
	return any
}

func (f *Watcher) askPeer(ctx context.Context, h host.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, primeWait)
	defer cancel()
	client, err := f.Peers.Client(ctx, h)
	if err != nil {
		return false
	}
	reply, err := client.Config(ctx, &wire.ConfigAsk{Secret: f.Secret, After: f.revision(), World: true})
	if err != nil {
		return false
	}
	f.takeReply(reply)
	// A peer that has just started itself knows nothing yet, and its answer
	// must not count as the word of the others.
	return len(reply.Object) > 0 || len(reply.Teams) > 0
}

// takeReply takes what a peer has and this entry host has not.
func (f *Watcher) takeReply(reply *wire.ConfigReply) {
	if len(reply.Object) > 0 {
		f.ApplyEncoded(reply.Object)
	}
	if len(reply.Teams) > 0 {
		f.offerTeams(reply.Teams, reply.TeamsVersion)
	}
	if len(reply.Hosts) > 0 {
		var list host.List
		if err := json.Unmarshal(reply.Hosts, &list); err != nil {
			f.Log.Error("watch: a peer's host list is unreadable", "err", err)
			return
		}
		f.offerHosts(list)
	}
}

// ApplyEncoded takes a configuration in its stored form that another entry
// host has in force.
func (f *Watcher) ApplyEncoded(value []byte) bool {
	c, err := conf.Decode(value)
	if err != nil {
		f.Log.Error("watch: a peer's configuration is unreadable", "err", err)
		return false
	}
	return f.offerOfPeer(c)
}

// FillReply returns the host list and the teams for a peer that starts while the
// store is down.
func FillReply(s *view.Snapshot, reply *wire.ConfigReply) error {
	list := host.List{Revision: s.HostsRevision}
	for _, h := range s.Hosts {
		list.Hosts = append(list.Hosts, h)
	}
	var err error
	if reply.Hosts, err = json.Marshal(list); err != nil || s.Teams == nil {
		return err
	}
	reply.TeamsVersion = s.Teams.Version
	reply.Teams, err = json.Marshal(s.Teams)
	return err
}
