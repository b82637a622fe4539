package engine

import (
	"context"
	"sync"

	wire "fuchsiashelf.dev/parts/engine"
)

// swap pairs streams, so that each gets the other's frames.
type swap struct {
	mu    sync.Mutex
	alone *side
}

// side is one stream of a pair.
type side struct {
	// in takes the frames of the other stream.
	in chan wire.Frame
	// paired is closed once other is set.
	paired chan struct{}
	// left is closed when the stream has ended.
	left  chan struct{}
	other *side
}

// join waits until another stream joins, or the context ends.
func (s *swap) join(ctx context.Context) *side {
	s.mu.Lock()
	mine := &side{in: make(chan wire.Frame, 1), paired: make(chan struct{}), left: make(chan struct{})}
	if other := s.alone; other != nil {
		s.alone = nil
		mine.other, other.other = other, mine
		close(mine.paired)
		close(other.paired)
		s.mu.Unlock()
		return mine
	}
	s.alone = mine
	s.mu.Unlock()
	select {
	case <-mine.paired:
		return mine
	case <-ctx.Done():
		s.mu.Lock()
		if s.alone == mine {
			s.alone = nil
		}
		s.mu.Unlock()
		return nil
	}
}

// trade gives the other stream a frame and returns one of its own. When the
// other has ended, the stream goes on with its own.
func (s *side) trade(ctx context.Context, mine wire.Frame) wire.Frame {
	select {
	case s.other.in <- mine:
	case <-s.other.left:
		return mine
	case <-ctx.Done():
		return mine
	}
	select {
	case theirs := <-s.in:
		return theirs
	case <-s.other.left:
		return mine
	case <-ctx.Done():
		return mine
	}
}
