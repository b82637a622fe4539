// Package stall tells the silence of others from a stall of this process.
//
// A process that is stopped, or waits for a processor, reads nothing meanwhile, but its
// timers go on. When it runs again, everyone that it waits for seems to have been silent,
// although the answers lie unread. Two things prevent that conclusion:
//
//   - A [Clock] counts only the time in which this process ran. A stall is a gap between
//     two of its ticks that is longer than [MaxGap].
//   - A barrier passes only once this process has read what had arrived before. It shows a
//     delay that no tick shows: goroutines that read may wait longer than others.
//
// Both are part of [Clock.WithTimeout]. On a host without stalls its timeouts take their
// time, so that a failure is not noticed any later.
package stall

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// TickInterval is the interval between ticks.
	TickInterval = 15 * time.Millisecond
	// MaxGap is the time between two ticks above which the process has stalled. It leaves
	// room for a timer that fires some milliseconds late.
	MaxGap = 40 * time.Millisecond
)

// Clock counts the time in which this process ran. While Run does not run, it agrees with
// real time, and so does a nil Clock. It is safe for concurrent use.
type Clock struct {
	// OnStall is called with the length of each stall when it is over, if set.
	OnStall func(time.Duration)
	// Done is closed when Run returns, if set.
	Done chan struct{}

	mu sync.Mutex
	// origin is the time of the first reading, and tick the reading at the last tick.
	origin time.Time
	tick   Mark
	// counted is the time since the last tick that was counted in a reading.
	counted  time.Duration
	running  bool
	barriers barriers
}

// Mark is a reading of a [Clock].
type Mark struct {
	At time.Time
	// Ran is how long the process ran since the first reading.
	Ran time.Duration
}

// epoch is the origin of a nil Clock.
var epoch = time.Now()

// Mark reads the clock.
func (c *Clock) Mark() Mark { return c.MarkAt(time.Now()) }

// MarkAt reads the clock at a time that is not before the last tick.
func (c *Clock) MarkAt(now time.Time) Mark {
	if c == nil {
		return Mark{At: now, Ran: now.Sub(epoch)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read(now)
}

// read reads the clock. The mutex is held.
func (c *Clock) read(now time.Time) Mark {
	if c.tick.At.IsZero() {
		c.tick.At, c.origin = now, now
	}
	gap := max(0, now.Sub(c.tick.At))
	if c.running && gap > MaxGap {
		gap = TickInterval
	}
	c.counted = max(c.counted, gap)
	return Mark{At: now, Ran: c.tick.Ran + c.counted}
}

// Now returns the time of the first reading plus how long this process ran since. It is
// for code that compares times, and differs from real time by the stalls.
func (c *Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origin.Add(c.read(time.Now()).Ran)
}

// Since returns how long this process ran since a reading.
func (c *Clock) Since(start Mark) time.Duration { return c.Mark().Ran - start.Ran }

// Delay returns how much of the time since a reading this process was stalled.
func (c *Clock) Delay(start Mark) time.Duration {
	now := c.Mark()
	return now.At.Sub(start.At) - (now.Ran - start.Ran)
}

// Run ticks until the context ends.
func (c *Clock) Run(ctx context.Context) error {
	if c.Done != nil {
		defer close(c.Done)
	}
	r, w, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("stall: no pipe for barriers: %w", err)
	}
	c.setRunning(true)
	c.mu.Lock()
	c.barriers.pipe = w
	c.mu.Unlock()
	var reader sync.WaitGroup
	reader.Go(func() { c.passBarriers(r) })
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			c.Tick(time.Now())
		}
	}
	c.setRunning(false)
	err = w.Close()
	reader.Wait()
	return err
}

// Tick records that the process runs.
func (c *Clock) Tick(now time.Time) {
	c.mu.Lock()
	gap := now.Sub(c.tick.At)
	stalled := c.running && gap > MaxGap
	c.tick, c.counted = c.read(now), 0
	c.mu.Unlock()
	if stalled && c.OnStall != nil {
		c.OnStall(gap)
	}
}

func (c *Clock) setRunning(running bool) {
	c.Tick(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running
}
