package placer

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
)

const (
	// aloneShare is the share of the time in which a failure domain is expected to be cut
	// off while one cannot serve its demand alone.
	aloneShare = 0.1
	// roomSettleTime is how long this entry host must have led before it moves servers for
	// capacity, so that the moves of the last leader have taken effect.
	roomSettleTime = 3 * time.Second
	// roomInterval is the time between two searches for a move. With 3,000 servers a search
	// takes longer than the rest of the planning.
	roomInterval = 2 * time.Second
	// roomMoveInterval is the shortest time between two moves for capacity in a failure
	// domain, and keepTime that between an assignment of a server and such a move of it.
	roomMoveInterval = 2 * time.Second
	keepTime         = 10 * time.Second
)

// recordAssigned records when servers were last known to have an assignment, of this entry
// host or of another one that led before.
func (p *Placer) recordAssigned(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.State.Assignments() {
		p.setAssigned(a.ID, now)
	}
	for id, at := range p.assigned {
		if now.Sub(at) >= keepTime {
			delete(p.assigned, id)
		}
	}
}

// setAssigned records an assignment of a server. The mutex is held.
func (p *Placer) setAssigned(id string, now time.Time) {
	if p.assigned == nil {
		p.assigned = map[string]time.Time{}
	}
	p.assigned[id] = now
}

// allowRoomMove permits one move for the capacity of a failure domain, if there may be one
// now. The mutex is held.
func (p *Placer) allowRoomMove(c *place.Conditions, service string, servers []*fleet.Server, now time.Time) {
	if p.Room == nil || !p.Room.Short(service) || !p.StoreUp() {
		return
	}
	draining := slices.ContainsFunc(servers, func(s *fleet.Server) bool { return s.Leaving })
	if draining || now.Sub(p.ledSince) < roomSettleTime || now.Sub(p.roomSearched[service]) < roomInterval {
		return
	}
	if p.roomSearched == nil {
		p.roomSearched, p.roomMoved = map[string]time.Time{}, map[domain.Name]time.Time{}
	}
	p.roomSearched[service] = now
	c.AloneShare, c.Demand = aloneShare, map[domain.Name]place.Demand{}
	for name, d := range p.Shares.Demand(service, now) {
		c.Demand[name] = place.Demand(d)
	}
	c.Movable = func(s *fleet.Server) bool {
		_, assigned := p.assigned[s.ID]
		return !assigned && now.Sub(p.roomMoved[s.Domain]) >= roomMoveInterval
	}
}

// logRoomMove logs and counts a move for capacity that a server has begun.
func (p *Placer) logRoomMove(a place.Assignment) {
	p.roomMoves.Add(1)
	r := a.Room
	p.Log.Info("place: move for room", "server", a.Server.ID, "domain", r.Domain, "first", a.First, "end", a.End,
		"demand", int(r.Demand.Mean), "demandMax", int(r.Demand.Max), "capacity", int(r.Before), "expected", int(r.After))
}

// RoomMoves returns the number of moves for capacity that servers have begun.
func (p *Placer) RoomMoves() int64 { return p.roomMoves.Load() }
