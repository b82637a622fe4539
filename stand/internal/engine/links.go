package engine

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

// linkDown is the setting of a link that transmits nothing.
const linkDown = "cut"

// links holds the delays of the links to other servers.
type links struct {
	mu      sync.Mutex
	initial map[string]time.Duration
	delays  map[string]time.Duration
}

// linkDownDelay is the delay that marks a link that transmits nothing.
const linkDownDelay = time.Duration(-1)

// ParseLinks parses "b1=20ms,b2=cut".
func ParseLinks(text string) (map[string]time.Duration, error) {
	delays := map[string]time.Duration{}
	for item := range strings.SplitSeq(text, ",") {
		if item == "" {
			continue
		}
		name, value, found := strings.Cut(item, "=")
		if !found {
			return nil, fmt.Errorf("%q is not server=delay", item)
		}
		if value == linkDown {
			delays[name] = linkDownDelay
			continue
		}
		delay, err := time.ParseDuration(value)
		if err != nil || delay < 0 {
			return nil, fmt.Errorf("%q is not a delay", value)
		}
		delays[name] = delay
	}
	return delays, nil
}

// init sets the delays that reset restores.
func (l *links) init(delays map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initial, l.delays = delays, maps.Clone(delays)
}

// set changes the delays of the given links.
func (l *links) set(delays map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delays == nil {
		l.delays = map[string]time.Duration{}
	}
	maps.Copy(l.delays, delays)
}

// reset restores the initial delays.
func (l *links) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays = maps.Clone(l.initial)
}

// delay returns the one-way delay to a server, or the fallback if none is set.
func (l *links) delay(server string, fallback time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delay, known := l.delays[server]; known {
		return delay
	}
	return fallback
}

// list returns the delays in microseconds, without links that are down.
func (l *links) list() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := map[string]int64{}
	for name, delay := range l.delays {
		if delay != linkDownDelay {
			list[name] = delay.Microseconds()
		}
	}
	return list
}
