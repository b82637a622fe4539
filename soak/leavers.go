package soak

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

const (
	// leftTime is how long after its caller has left a request may reach a server, and a server may
	// work on it.
	leftTime = 500 * time.Millisecond
	// maxStay is the longest time after which a caller leaves.
	maxStay = 900 * time.Millisecond
	// leftEvents is the number of events of its stream, which lasts longer than that.
	leftEvents = 400
	// leaveCheck is when it is checked that the work has ended, after its caller has left.
	leaveCheck = 2 * time.Second
	// lagInterval is the interval at which the lag of this process is measured.
	lagInterval = 10 * time.Millisecond
)

// departure is how a caller leaves.
type departure int

const (
	closes departure = iota
	resets
	// closesAfterByte means that a byte follows the request.
	closesAfterByte
	departures
)

// startFlood makes a server answer some requests with bytes without end.
func (r *run) startFlood(rng *rand.Rand) string {
	s, n, part := r.cluster.randomServer(rng), 1+rng.IntN(3), fakes.FloodParts[rng.IntN(len(fakes.FloodParts))]
	s.Flood(n, part)
	return fmt.Sprintf("%s: answers %d requests with bytes without end, part %d", s.ID, n, part)
}

// sendAndLeave sends a stream, or a call that may be repeated, leaves after a while, and checks what
// servers did then.
func (r *run) sendAndLeave(e int, rng *rand.Rand) {
	id, path, events := r.newID("left", e), "/ask/1", leftEvents
	if rng.IntN(4) == 0 {
		path, events = "/look/1", 0
	}
	stay, how := time.Duration(rng.Int64N(int64(maxStay))), departure(rng.IntN(int(departures)))
	lag := measureLag()
	defer lag.stop()
	start := time.Now()
	conn, err := r.cluster.sendOnly(e, id, path, events)
	if err != nil {
		return
	}
	if how == closesAfterByte {
		_, err = conn.Write([]byte("\r\n"))
	}
	time.Sleep(stay)
	if how == resets {
		err = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
	left := time.Now()
	if err != nil {
		return
	}
	time.Sleep(leaveCheck)
	work := r.cluster.platform.Work(id)
	if r.excusesWork(id, e, start) {
		return
	}
	bound := left.Add(leftTime + lag.longest())
	if work.Arrived.After(bound) {
		r.addViolation("%s: reached a server %s after its caller had left", id, work.Arrived.Sub(left))
	}
	if work.Active > 0 || work.Ended.After(bound) {
		r.addViolation("%s: servers worked on it for over %s after its caller had left, %d still do", id, work.Ended.Sub(left), work.Active)
	}
}

// leaversAfterFaults is the number of callers that leave after the faults.
const leaversAfterFaults = 24

// checkLeavers makes callers leave while nothing else happens.
func (r *run) checkLeavers() {
	var leavers sync.WaitGroup
	for i := range leaversAfterFaults {
		rng := rand.New(rand.NewPCG(r.Seed+uint64(i), leaverStream))
		leavers.Go(func() { r.sendAndLeave(i%r.EntryHosts, rng) })
	}
	leavers.Wait()
}

// excusesWork reports whether an entry host, or a server that got the request, was disturbed since a
// time: what a host has closed may reach the server late then.
func (r *run) excusesWork(id string, e int, since time.Time) bool {
	c := r.cluster
	servers, _ := c.platform.Passed(id)
	for _, s := range servers {
		if c.disturbances.any(since, s.Address()) || s.SilentSince(since) || s.Crashed() {
			return true
		}
	}
	for _, other := range c.entries {
		// A request may go through any other host.
		if c.disturbances.any(since, other.name) {
			return true
		}
	}
	return false
}

// sendOnly sends a request on a connection of its own and reads nothing.
func (c *cluster) sendOnly(e int, id, path string, events int) (net.Conn, error) {
	address := c.entries[e].callerAddr
	req, err := fakes.Request{Address: address, Path: path, ID: id, Key: currentKey, Body: "body", Timeout: callerTimeout, Events: events}.HTTP()
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	if err := req.Write(conn); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// lag measures for how long this process gets no processor time.
type lag struct {
	done, ended chan struct{}
	most        time.Duration
}

// measureLag begins to measure.
func measureLag() *lag {
	l := &lag{done: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(l.ended)
		for last := time.Now(); ; {
			select {
			case <-l.done:
				return
			case <-time.After(lagInterval):
			}
			now := time.Now()
			l.most = max(l.most, now.Sub(last)-lagInterval)
			last = now
		}
	}()
	return l
}

// stop ends the measurement.
func (l *lag) stop() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	<-l.ended
}

// longest ends the measurement and returns the longest time without processor time.
func (l *lag) longest() time.Duration {
	l.stop()
	return l.most
}

// pauseInterval is the interval at which it is checked whether a process has stopped.
const pauseInterval = time.Millisecond

// pause stops the process, and waits until all its threads have stopped: on a busy machine some run on
// for a while after the signal.
func (e *entryHost) pause() error {
	e.signal(syscall.SIGSTOP)
	pid := e.running().cmd.Process.Pid
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(pauseInterval) {
		stopped, err := allStopped(pid)
		if stopped || err != nil {
			return err
		}
	}
	return fmt.Errorf("%s did not stop within %s", e.name, recoveryTimeout)
}

// allStopped reports whether all threads of a process are stopped.
func allStopped(pid int) (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false, errors.Join(err, os.ErrProcessDone)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false, err
		}
		// The state follows the name, which is in parentheses and may contain any character.
		if end := bytes.LastIndexByte(stat, ')'); end < 0 || !bytes.HasPrefix(stat[end:], []byte(") T")) {
			return false, nil
		}
	}
	return true, nil
}

// PausedHost starts an entry host, pauses its process while the given number of callers send requests
// and leave, and returns those of their requests that reached a server after that, with what the log of
// the host says of them.
func PausedHost(s Settings, callers int) (sent []string, err error) {
	c, err := newCluster(s)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.close() }()
	if err := c.warm(callers); err != nil {
		return nil, err
	}
	if err := c.entries[0].pause(); err != nil {
		return nil, err
	}
	var ids []string
	for i := range callers {
		id := fmt.Sprintf("left-%d", i)
		ids = append(ids, id)
		conn, err := c.sendOnly(0, id, []string{"/ask/1", "/look/1"}[i%2], leftEvents*(1-i%2))
		if err != nil {
			return nil, err
		}
		if departure(i%int(departures)) == resets {
			if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
				return nil, err
			}
		}
		if err := conn.Close(); err != nil {
			return nil, err
		}
	}
	left := time.Now()
	c.entries[0].signal(syscall.SIGCONT)
	// The host has accepted the connections of those that left when it serves a request on a new one.
	c.client.CloseIdleConnections()
	if err := c.warm(1); err != nil {
		return nil, err
	}
	time.Sleep(leftTime)
	for _, id := range ids {
		if work := c.platform.Work(id); !work.Arrived.IsZero() {
			sent = append(sent, fmt.Sprintf("%s: reached a server %s after all callers had left: %s", id, work.Arrived.Sub(left), c.entries[0].logOf(id)))
		}
	}
	return sent, nil
}

// warm waits until the first entry host has served the given number of requests, streams and calls in
// turn.
func (c *cluster) warm(requests int) error {
	served := 0
	for deadline := time.Now().Add(recoveryTimeout); served < requests; {
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d requests served within %s", served, requests, recoveryTimeout)
		}
		c.warmed++
		if reply := c.send(0, fmt.Sprintf("warm-%d", c.warmed), []string{"/ask/1", "/look/1"}[served%2], currentKey, 1-served%2); reply.status == http.StatusOK {
			served++
		}
	}
	return nil
}

// logOf returns the lines of the log of the host that name a request.
func (e *entryHost) logOf(request string) string {
	log, err := os.ReadFile(filepath.Join(e.cluster.Dir, e.name+".log"))
	if err != nil {
		return err.Error()
	}
	var found []string
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, strconv.Quote(request)) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}
