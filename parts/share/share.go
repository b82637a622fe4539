// Package share computes how much capacity a request leaves free for others, so that entry
// hosts that share backend servers serve urgent requests first and teams alike, without
// asking each other.
//
// A [Class] holds the requests of one team and rank for one service. Its demand is the work
// that runs plus the work that finds no capacity, which waits or was refused. Each entry
// host counts its own demand with a [Tracker] and tells it to others in [Row]s. What it
// hears from some hosts of a failure domain stands for all hosts alive there.
//
// A service is contended while requests wait or are refused. Only then a class leaves free
// a share of the capacity of each server, its headroom: what the classes that precede it
// still lack, and what their demand varies by. More urgent ranks precede. Within a rank,
// the work that runs is divided by max-min fairness, and classes that run less than their
// share precede those that run more. A rank that gets less than a minimum of what is served
// leaves nothing free.
//
// An entry host without news from others decides by its own demand: reserves that are too
// small or too large cost some precedence or idle capacity, nothing else.
package share

import (
	"cmp"
	"time"
)

const (
	// Ranks is the number of ranks. Rank 0 is the most urgent; one out of range counts as
	// the last.
	Ranks = 10
	// maxHeadroom bounds the headroom: a demand that was estimated too high must not idle
	// more than half of the servers.
	maxHeadroom = 0.5
	// minShare is the share of what is served below which a rank leaves nothing free.
	minShare = 1.0 / 16
	// deviations is how many standard deviations of the demand that precedes are kept
	// free. Fewer refuse requests when that demand varies, more idle small services.
	deviations = 2
	// contendedFor is how long a service counts as contended after a request waited or
	// was refused.
	contendedFor = 2 * time.Second
	// maxAge is the age from which the demand of another host no longer counts. Of 143
	// hosts, an entry host hears from some fifteen in that time.
	maxAge = 3 * time.Second
	// maxRows bounds the rows of a message.
	maxRows = 64
	// maxStats bounds the classes in metrics.
	maxStats = 16
	// idleFor is how long a class is kept without requests.
	idleFor = 10 * time.Second
)

// Class is a group of requests that compete as one: those of one team and rank for one
// service.
type Class struct {
	Service, Team string
	Rank          int
}

// Usage is the demand of a class, in work: tokens of prompt and answer, or 1 for a call.
type Usage struct {
	Running, Waiting float64
	// Refused is the work refused per second for lack of capacity.
	Refused float64
}

// Row is the demand of a class at one entry host in a message. The names of its fields are
// part of the encoding.
type Row struct {
	Service, Team    string
	Rank             int
	Running, Waiting float64
	// Refused and Served are the work refused and begun per second.
	Refused, Served float64
}

// Stat describes the demand of a class at all entry hosts, for metrics.
type Stat struct {
	Class
	Usage
	// Served is the work begun per second.
	Served   float64
	Headroom float64
}

// normal returns the class with a rank out of range replaced by the last.
func (c Class) normal() Class {
	if c.Rank < 0 || c.Rank >= Ranks {
		c.Rank = Ranks - 1
	}
	return c
}

// compare orders classes of the same size.
func (c Class) compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Service, other.Service), cmp.Compare(c.Rank, other.Rank), cmp.Compare(c.Team, other.Team))
}
