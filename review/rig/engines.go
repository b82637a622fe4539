package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engineProcess is the process of an engine.
type engineProcess struct {
	id, zone, address string
	cmd               *exec.Cmd
	exited            chan struct{}
}

// engines are the engine processes of a case.
type engines struct {
	setup

	mu   sync.Mutex
	list []*engineProcess
	// ran holds the engines that have run a request, by its ID, and when.
	ran map[string][]run1
	// onExit is called when an engine has ended by itself; nil means nothing.
	onExit func(e *engineProcess)
}

// run1 is one run of a request.
type run1 struct {
	engine string
	at     time.Time
}

// start starts an engine at an address of the loopback network.
func (s *engines) start(id, zone, address string) (*engineProcess, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{id: id, zone: zone, address: address, exited: make(chan struct{})}
	e.cmd = exec.Command(executable, "engine", id, zone, address, s.store.address)
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	e.cmd.Stderr = os.Stderr
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.list = append(s.list, e)
	s.mu.Unlock()
	go s.read(e, out)
	return e, nil
}

// read records what an engine says until it ends.
func (s *engines) read(e *engineProcess, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line := lines.Text()
		s.rec.printf("%s", line)
		if _, rest, found := strings.Cut(line, ": runs "); found {
			id, _, _ := strings.Cut(rest, " ")
			s.mu.Lock()
			s.ran[id] = append(s.ran[id], run1{e.id, time.Now()})
			s.mu.Unlock()
		}
	}
	err := e.cmd.Wait()
	s.rec.printf("engine %s: has ended: %v", e.id, err)
	close(e.exited)
	if s.onExit != nil {
		s.onExit(e)
	}
}

// runsOf returns the runs of a request.
func (s *engines) runsOf(id string) []run1 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run1(nil), s.ran[id]...)
}

// byID returns the engine with an ID, or nil.
func (s *engines) byID(id string) *engineProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.list {
		if e.id == id {
			return e
		}
	}
	return nil
}

// stop ends all engines.
func (s *engines) stop() {
	s.mu.Lock()
	list := s.list
	s.onExit = nil
	s.mu.Unlock()
	for _, e := range list {
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
}

// startEngines starts engines in the three zones by turns.
func (s setup) startEngines(n int) (*engines, error) {
	list := &engines{setup: s, ran: map[string][]run1{}}
	for i := range n {
		address, err := freeAddress(ip())
		if err == nil {
			_, err = list.start(fmt.Sprintf("i-m%d%07x", i, os.Getpid()), []string{"zone-a", "zone-b", "zone-c"}[i%3], address)
		}
		if err != nil {
			list.stop()
			return nil, err
		}
	}
	return list, nil
}

// awaitLayers waits until the entry hosts have ordered all engines to hold the model.
func (s *engines) awaitLayers() error {
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		s.store.mu.Lock()
		n := 0
		for _, o := range s.store.objects["servers"] {
			if strings.Contains(string(o.Spec), fmt.Sprintf(`"layers":{"from":0,"target":%d`, modelLayers)) {
				n++
			}
		}
		s.store.mu.Unlock()
		if n == len(s.list) {
			return nil
		}
	}
	return errors.New("not all engines hold the model")
}

// streamCall returns a request for a stream with a number of events.
func streamCall(id string, events int, body string) call {
	return call{
		id: id, method: "POST", target: streamPath, body: body, timeout: 20 * time.Second,
		header: map[string]string{
			"X-Model": modelName, names.TokenCounts: fmt.Sprintf("760,%d", events*tokensPerEvent), names.PromptParts: "5c1e07a2:40," + body[:min(8, len(body))] + ":720",
			"X-Length-Hint": fmt.Sprint(events * tokensPerEvent),
		},
	}
}
