// Package lang is the operators' command language: one readable line a step.
//
//	create service assist model lotus
//	create service booking path /booking repeat no
//	create pool lake model lotus layers 32 servers a1 a2 b1 b2
//	route service assist to pool lake
//	stop server a2
//	show pools
package lang

import (
	"errors"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Line is a parsed line. Exactly one field is set.
type Line struct {
	Create *Create `parser:"  'create' @@"`
	Route  *Route  `parser:"| 'route' @@"`
	Stop   *Stop   `parser:"| 'stop' 'server' @@"`
	Resume *Resume `parser:"| 'resume' 'server' @@"`
	Show   *Show   `parser:"| 'show' @@"`
}

// Create makes a service or a pool.
type Create struct {
	Service *Service `parser:"  'service' @@"`
	Pool    *Pool    `parser:"| 'pool' @@"`
}

// Service describes a service.
type Service struct {
	Name    string `parser:"@Word"`
	Model   string `parser:"( 'model' @Word"`
	Path    string `parser:"| 'path' @Path )"`
	Repeat  string `parser:"( 'repeat' @( 'yes' | 'no' ) )?"`
	Ids     string `parser:"( 'ids' @( 'needed' | 'free' ) )?"`
	Guarded bool   `parser:"@'guarded'?"`
	Within  string `parser:"( 'within' @Word )?"`
}

// Pool describes a pool.
type Pool struct {
	Name    string   `parser:"@Word"`
	Model   string   `parser:"( 'model' @Word"`
	Layers  int      `parser:"  'layers' @Word )?"`
	Servers []string `parser:"'servers' @Word+"`
}

// Route describes a routing rule.
type Route struct {
	Service string `parser:"'service' @Word"`
	Team    string `parser:"( 'team' @Word )?"`
	Pool    string `parser:"'to' 'pool' @Word"`
}

// Stop plans the stop of a backend server.
type Stop struct {
	Server string `parser:"@Word"`
	At     string `parser:"( 'at' @Time )?"`
}

// Resume takes a planned stop back.
type Resume struct {
	Server string `parser:"@Word"`
}

// Show asks for something.
type Show struct {
	What string   `parser:"@Word"`
	Rest []string `parser:"@Word*"`
}

var words = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Time", Pattern: `\d\d:\d\d`},
	{Name: "Path", Pattern: `/[A-Za-z0-9/_.-]*`},
	{Name: "Word", Pattern: `[A-Za-z0-9][A-Za-z0-9_.-]*`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Line](
	participle.Lexer(words),
	participle.Elide("Space"),
	participle.UseLookahead(2),
)

// Error is a fault in a line.
type Error struct {
	// Column is where the fault is, from 1.
	Column int
	// Message says what is wrong and what was expected.
	Message string
}

// Error returns the message.
func (e *Error) Error() string {
	return e.Message
}

// Parse reads one line. The error is an *Error.
func Parse(text string) (*Line, error) {
	line, err := parser.ParseString("", text)
	if err == nil {
		return line, nil
	}
	var at participle.Error
	if errors.As(err, &at) {
		return nil, &Error{Column: at.Position().Column, Message: at.Message()}
	}
	return nil, &Error{Column: 1, Message: err.Error()}
}
