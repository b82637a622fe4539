package engine

import (
	"context"
	"sync"

	wire "fuchsiashelf.dev/parts/engine"
)

// streamSwap pairs streams so that each sends the frames of the other.
type streamSwap struct {
	mu      sync.Mutex
	waiting *swapPeer
}

// swapPeer is one of two paired streams.
type swapPeer struct {
	// in receives the frames of the other stream.
	in chan wire.Frame
	// paired is closed once other is set.
	paired chan struct{}
	// done is closed when the stream has ended.
	done  chan struct{}
	other *swapPeer
}

// join waits until another stream joins. It returns nil if the context ends first.
func (s *streamSwap) join(ctx context.Context) *swapPeer {
	s.mu.Lock()
	peer := &swapPeer{in: make(chan wire.Frame, 1), paired: make(chan struct{}), done: make(chan struct{})}
	if other := s.waiting; other != nil {
		s.waiting = nil
		peer.other, other.other = other, peer
		close(peer.paired)
		close(other.paired)
		s.mu.Unlock()
		return peer
	}
	s.waiting = peer
	s.mu.Unlock()
	select {
	case <-peer.paired:
		return peer
	case <-ctx.Done():
		s.mu.Lock()
		if s.waiting == peer {
			s.waiting = nil
		}
		s.mu.Unlock()
		return nil
	}
}

// exchange passes a frame to the other stream and returns a frame of the other
// stream. Once the other has ended, it returns the stream's own frame.
func (p *swapPeer) exchange(ctx context.Context, own wire.Frame) wire.Frame {
	select {
	case p.other.in <- own:
	case <-p.other.done:
		return own
	case <-ctx.Done():
		return own
	}
	select {
	case received := <-p.in:
		return received
	case <-p.other.done:
		return own
	case <-ctx.Done():
		return own
	}
}
