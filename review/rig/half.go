package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// halfEngines is the number of engines; one of them is taken away.
	halfEngines = 7
	// halfStreams are the streams, halfUnframed of which have neither a length nor chunks.
	halfStreams  = 40
	halfUnframed = 2
	// halfEvents is the number of events of a stream, which takes about four seconds.
	halfEvents = 100
	// noticeAfter is how long after the start of an unframed stream its engine gets the notice that
	// it is reclaimed, and goneAfter how long after that it is gone.
	noticeAfter = 700 * time.Millisecond
	goneAfter   = 2 * time.Second
	// entryExpiry is how long the entry of an engine that has ended stays: three heartbeats.
	entryExpiry = 3600 * time.Millisecond
)

// runHalf plays the case in which an engine is reclaimed while it sends a stream without a length.
func runHalf(s setup) (broken bool, err error) {
	list, err := s.startEngines(halfEngines)
	if err != nil {
		return false, err
	}
	defer list.stop()
	entries, err := s.startEntries()
	if err != nil {
		return false, err
	}
	defer stopEntries(entries)
	if err := list.awaitLayers(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var callers sync.WaitGroup
	var reclaimed string
	for i := range halfStreams {
		id := fmt.Sprintf("%08x%02d", rand.Uint32(), i)
		if i%(halfStreams/halfUnframed) == halfStreams/halfUnframed-1 {
			id += unframedMark
		}
		callers.Go(func() {
			c := &channel{address: entries[i%len(entries)].front}
			defer c.close()
			a := c.do(streamCall(id, halfEvents, fmt.Sprintf("%08x", rand.Uint32())))
			s.rec.printf("caller of %s: %s", id, a)
			if violatesOrder(s.rec, id, a) {
				mu.Lock()
				broken = true
				mu.Unlock()
			}
		})
		time.Sleep(50 * time.Millisecond)
		if reclaimed == "" && strings.HasSuffix(id, unframedMark) {
			time.Sleep(100 * time.Millisecond)
			if ran := list.runsOf(id); len(ran) > 0 {
				reclaimed = ran[0].engine
				go list.reclaim(reclaimed)
			}
		}
	}
	callers.Wait()
	if reclaimed == "" {
		return false, fmt.Errorf("no unframed stream ran")
	}
	return broken, nil
}

// reclaim gives an engine notice, upon which it drains, and kills it goneAfter later. Without the
// disruption it serves on.
func (s *engines) reclaim(id string) {
	if !s.trouble {
		return
	}
	e := s.byID(id)
	time.Sleep(noticeAfter)
	s.rec.printf("notice to engine %s", id)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(goneAfter)
	s.rec.printf("engine %s is killed", id)
	_ = e.cmd.Process.Kill()
	<-e.exited
	time.Sleep(entryExpiry)
	s.store.remove("servers", id)
}

// violatesOrder reports whether a stream that looks complete lacks pieces, has them twice, or has
// others.
func violatesOrder(rec *record, id string, a answer) bool {
	if a.status != http.StatusOK || !a.whole || a.body == streamBody(id, halfEvents) {
		return false
	}
	got := strings.Count(a.body, "\n\n")
	rec.printf("ORDER: the stream %s ended as complete with %d of %d events; those are the first ones: %v", id, got, halfEvents, a.body == streamBody(id, got))
	return true
}
