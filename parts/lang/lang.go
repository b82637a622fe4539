// Package lang implements the operators' command language, with one readable
// line per command.
//
//	create service assist model lotus
//	create service booking path /booking repeat no within 5s
//	create pool lake model lotus layers 24 servers a1 a2 a3
//	route service assist to pool lake
//	add server b1 to pool lake
//	stop server a2 at 22:00
//	show stops
//
// Parse returns a [Line], and Apply checks and applies it to a copy of the
// whole configuration. An [Error] of either points to the column of the word at
// fault.
package lang

import "github.com/alecthomas/participle/v2/lexer"

// Line is a parsed line. Exactly one of the pointers is set.
type Line struct {
	Create *Create `parser:"(  'create' @@"`
	Change *Change `parser:" | 'change' @@"`
	Delete *Delete `parser:" | 'delete' @@"`
	Route  *Rule   `parser:" | 'route' @@"`
	Add    *Add    `parser:" | 'add' @@"`
	Remove *Remove `parser:" | 'remove' @@"`
	Stop   *Stop   `parser:" | 'stop' @@"`
	Resume *Resume `parser:" | 'resume' @@"`
	Show   *Show   `parser:" | 'show' @@ )"`
	// Anyway applies the line even if a pool is left without servers or with
	// layers that no server holds.
	Anyway bool `parser:"@'anyway'?"`
}

// Word is a word of a line that was chosen by the operator, with its position.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"(?! 'anyway' ) @Word"`
}

// Create creates a service, a pool or a rule that must not exist yet.
type Create struct {
	Service *Service `parser:"  'service' @@"`
	Pool    *Pool    `parser:"| 'pool' @@"`
	Rule    *Rule    `parser:"| 'rule' @@"`
}

// Change changes an existing service, pool or rule.
type Change struct {
	Service *ServiceChange `parser:"  'service' @@"`
	Pool    *Pool          `parser:"| 'pool' @@"`
	Rule    *Rule          `parser:"| 'rule' @@"`
}

// Delete deletes a service, a pool or a rule.
type Delete struct {
	Service *Word   `parser:"  'service' @@"`
	Pool    *Word   `parser:"| 'pool' @@"`
	Rule    *Target `parser:"| 'rule' @@"`
}

// Service describes a new service.
type Service struct {
	Name    Word      `parser:"@@"`
	Model   *Word     `parser:"( 'model' @@"`
	Path    *PathWord `parser:"| 'path' @@ )"`
	Options Options   `parser:"@@"`
}

// PathWord is the path prefix of a plain service.
type PathWord struct {
	Pos  lexer.Position
	Text string `parser:"@Path"`
}

// Options holds the options of a service. Each of them can be omitted.
type Options struct {
	Pos     lexer.Position
	Repeat  string   `parser:"( 'repeat' @( 'yes' | 'no' ) )?"`
	Ids     string   `parser:"( 'ids' @( 'needed' | 'free' ) )?"`
	Guarded *Guarded `parser:"@@?"`
	Within  *Word    `parser:"( 'within' @@ )?"`
}

// Guarded says whether the backend servers themselves refuse repeated calls.
// Without a value, it means yes.
type Guarded struct {
	Value string `parser:"'guarded' @( 'yes' | 'no' )?"`
}

// ServiceChange names a service and its new options.
type ServiceChange struct {
	Name    Word    `parser:"@@"`
	Options Options `parser:"@@"`
}

// Pool describes a pool.
type Pool struct {
	Name    Word   `parser:"@@"`
	Model   *Word  `parser:"( 'model' @@"`
	Layers  *Word  `parser:"  'layers' @@ )?"`
	Servers []Word `parser:"'servers' @@+"`
}

// Target identifies a rule: a service, and one team or every team.
type Target struct {
	Service Word  `parser:"'service' @@"`
	Team    *Word `parser:"( 'team' @@ )?"`
}

// Rule sends the requests of a target to a pool.
type Rule struct {
	Target
	Pool Word `parser:"'to' 'pool' @@"`
}

// Add adds a backend server to a pool.
type Add struct {
	Server Word `parser:"'server' @@"`
	Pool   Word `parser:"'to' 'pool' @@"`
}

// Remove removes a backend server from a pool.
type Remove struct {
	Server Word `parser:"'server' @@"`
	Pool   Word `parser:"'from' 'pool' @@"`
}

// Stop plans the stop of a backend server: at once, at a time of day (UTC), or
// after a duration.
type Stop struct {
	Server Word  `parser:"'server' @@"`
	At     *Hour `parser:"( 'at' @@"`
	In     *Word `parser:"| 'in' @@ )?"`
}

// Hour is a time of day such as 22:00.
type Hour struct {
	Pos  lexer.Position
	Text string `parser:"@Time"`
}

// Resume cancels a planned stop.
type Resume struct {
	Server Word `parser:"'server' @@"`
}

// Show is a query and changes nothing.
type Show struct {
	What     string    `parser:"  @( 'services' | 'pools' | 'rules' | 'stops' | 'servers' | 'entries' | 'lines' )"`
	Command  *Word     `parser:"| 'command' @@"`
	Timeline *Timeline `parser:"| @@"`
}

// Timeline queries the events of one request, or of all requests.
type Timeline struct {
	Request *Word `parser:"'timeline' ( 'request'? @@ )?"`
}
