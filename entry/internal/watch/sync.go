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

// maxSyncPeers is the number of peers queried at the start. One peer and the
// object API are enough while nothing else fails; more are queried since peers
// may be cut off themselves. The state of the others arrives by gossip.
const maxSyncPeers = 8

// peerTimeout bounds a query of one peer.
const peerTimeout = time.Second

// HasSynced reports whether this entry host has queried its peers and the object
// API and has a configuration, hosts and teams. Before that, callers could be
// routed by a configuration that was replaced long ago: only peers know the
// newest one while the object API is down, and an object API restored from an
// older copy does not hold it.
func (w *Watcher) HasSynced() bool {
	snap := w.View.Load()
	return w.synced.Load() && snap.Config != nil && snap.HostsRevision > 0 && snap.Teams != nil
}

// syncPeers queries peers until one answers, or until none answers but the object
// API has.
func (w *Watcher) syncPeers(ctx context.Context) {
	for ctx.Err() == nil {
		storeAnswered := w.objectsReceived.Load() && w.View.Load().HostsRevision > 0
		if w.queryPeers(ctx) || storeAnswered {
			w.synced.Store(true)
			return
		}
		wait.For(ctx, retryWait)
	}
}

// queryPeers queries up to maxSyncPeers of the peers and seeds, and applies their
// replies. It reports whether any of them replied with a configuration or teams.
func (w *Watcher) queryPeers(ctx context.Context) bool {
	if w.Peers == nil {
		return false
	}
	peers := w.Peers.Others()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range w.Seeds {
		known := slices.ContainsFunc(peers, func(h host.Host) bool { return h.Address == address })
		if !known {
			peers = append(peers, host.Host{Name: address, Address: address})
		}
	}
	answers := make(chan bool)
	peers = peers[:min(len(peers), maxSyncPeers)]
	for _, h := range peers {
		go func() { answers <- w.queryPeer(ctx, h) }()
	}
	answered := false
	for range peers {
		answered = <-answers || answered
	}
	return answered
}

// queryPeer queries a peer and applies its reply. It reports whether the reply
// held a configuration or teams.
func (w *Watcher) queryPeer(ctx context.Context, h host.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client, err := w.Peers.Client(ctx, h)
	if err != nil {
		return false
	}
	reply, err := client.Config(ctx, &wire.ConfigAsk{Secret: w.Secret, After: w.revision(), World: true})
	if err != nil {
		return false
	}
	w.applyReply(reply)
	// A peer that has just started itself knows nothing yet; its empty reply does
	// not count as an answer.
	return len(reply.Object) > 0 || len(reply.Teams) > 0
}

// applyReply applies the parts of a peer's reply that are newer than the
// snapshot.
func (w *Watcher) applyReply(reply *wire.ConfigReply) {
	if len(reply.Object) > 0 {
		w.ApplyEncoded(reply.Object)
	}
	if len(reply.Teams) > 0 {
		w.applyTeams(reply.Teams, reply.TeamsVersion)
	}
	if len(reply.Hosts) > 0 {
		var list host.List
		if err := json.Unmarshal(reply.Hosts, &list); err != nil {
			w.Log.Error("watch: cannot decode a peer's host list", "err", err)
			return
		}
		w.applyHosts(list)
	}
}

// ApplyEncoded applies an encoded configuration that is in force on another entry
// host. It reports whether the configuration was applied.
func (w *Watcher) ApplyEncoded(value []byte) bool {
	c, err := conf.Decode(value)
	if err != nil {
		w.Log.Error("watch: cannot decode a peer's configuration", "err", err)
		return false
	}
	return w.applyFromPeer(c)
}

// FillReply adds the host list and the teams to the reply to a peer that starts
// while the object API is down.
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
