package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

// Obstacle is something that a process meets at its start, or while it runs, and that must not end it.
type Obstacle int

// The obstacles.
const (
	// Hangups are SIGHUPs in series.
	Hangups Obstacle = iota
	// TakenAddress means that another process has a port of the host when its process starts.
	TakenAddress
	// TornSettings means that the settings are being written when the process starts.
	TornSettings
	// LostOutput means that the reader of the output of the process has gone.
	LostOutput
	// Odd means that another writer leaves an entry among those of the servers that no server would write.
	Odd
	obstacles
)

// Obstacles are all of them.
var Obstacles = []Obstacle{Hangups, TakenAddress, TornSettings, LostOutput, Odd}

// String implements fmt.Stringer.
func (o Obstacle) String() string {
	return []string{"hangups", "taken address", "torn settings", "lost output", "odd entry"}[o]
}

const (
	// hangups is the number of signals in a series, hangupPause the longest pause between two of them.
	hangups     = 10
	hangupPause = 60 * time.Millisecond
	// handledAfter is the age of a process from which it handles signals. Before, nothing in the process can.
	handledAfter = 250 * time.Millisecond
	// minObstacle and maxObstacle bound the time for which an obstacle stays.
	minObstacle = 300 * time.Millisecond
	maxObstacle = 1500 * time.Millisecond
)

// startObstacle puts a random obstacle in the way of a random host.
func (r *run) startObstacle(rng *rand.Rand) string {
	o, e := Obstacle(rng.IntN(int(obstacles))), r.cluster.entries[rng.IntN(r.EntryHosts)]
	rng = rand.New(rand.NewPCG(rng.Uint64(), 0))
	r.activeFaults.Go(func() {
		if err := r.obstruct(e, o, rng); err != nil {
			r.addViolation("%s: %s: %v", e.name, o, err)
		}
	})
	return fmt.Sprintf("%s: %s", e.name, o)
}

// obstruct puts an obstacle in the way of a host, and takes it away.
func (r *run) obstruct(e *entryHost, o Obstacle, rng *rand.Rand) error {
	stay := minObstacle + time.Duration(rng.Int64N(int64(maxObstacle-minObstacle)))
	switch o {
	case Hangups:
		for range hangups {
			if p := e.running(); time.Since(p.startedAt) > handledAfter {
				e.signal(syscall.SIGHUP)
			}
			time.Sleep(time.Duration(rng.Int64N(int64(hangupPause))))
		}
		return nil
	case Odd:
		odd := fakes.OddEntries[rng.IntN(len(fakes.OddEntries))]
		defer func() {
			time.Sleep(stay)
			r.cluster.platform.Store.Delete("servers", "odd")
		}()
		return r.cluster.platform.Store.PutRaw("servers", "odd", odd.Spec(r.cluster.randomServer(rng).Address()))
	}
	if !e.restartMu.TryLock() {
		return nil
	}
	defer e.restartMu.Unlock()
	defer r.cluster.disturbances.begin(e.name)()
	defer r.cluster.interruptions.begin(e.name)()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	e.wait()
	return e.startBehind(o, stay, rng)
}

// startBehind starts the process of a host behind an obstacle, which it takes away after a while.
func (e *entryHost) startBehind(o Obstacle, stay time.Duration, rng *rand.Rand) error {
	switch o {
	case TakenAddress:
		address := []string{e.callerAddr, e.opsAddr, e.peerAddr}[rng.IntN(3)]
		taken, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		defer taken.Close()
		defer time.Sleep(stay)
		return e.start()
	case TornSettings:
		whole := e.settings()
		if err := e.launch(whole[:rng.IntN(len(whole)/2)], nil); err != nil {
			return err
		}
		time.Sleep(stay)
		return os.WriteFile(e.settingsFile(), []byte(whole), 0o600)
	case LostOutput:
		read, written, err := os.Pipe()
		if err != nil {
			return err
		}
		defer written.Close()
		go func() {
			time.AfterFunc(stay, func() { read.Close() })
			_, _ = io.Copy(io.Discard, read)
		}()
		return e.launch(e.settings(), written)
	}
	return e.start()
}

// Obstruct starts two entry hosts and puts an obstacle in the way of the first one, several times. It
// returns the processes that ended by themselves, and an error if the host does not serve then.
func Obstruct(s Settings, o Obstacle) (exits []string, err error) {
	c, err := newCluster(s)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.close() }()
	r := &run{Settings: s, cluster: c}
	rng := rand.New(rand.NewPCG(s.Seed, uint64(o)))
	for range obstructions {
		if err := r.obstruct(c.entries[0], o, rng); err != nil {
			return nil, err
		}
		if err := c.warm(warmCalls); err != nil {
			return c.exits, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exits, nil
}

const (
	// obstructions is how often Obstruct puts the obstacle in the way, and warmCalls how many requests
	// are served after each.
	obstructions = 3
	warmCalls    = 4
)
