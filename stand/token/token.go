// Package token computes the tokens that the stand-in engines generate.
//
// Each layer hashes its number into a running state, and the state after the
// last layer is the token. A layer that is omitted, repeated, out of order or
// wrong changes the token, so that tests find it by comparing with [Expected].
package token

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// State is the activation that each stage passes to the next.
type State uint64

// Start returns the state before the first layer for the token at an index.
func Start(prompt string, index int) State {
	return State(xxhash.Sum64String(fmt.Sprintf("%s\x00%d", prompt, index)))
}

// Apply runs the layers [first, end) and returns the new state.
func (s State) Apply(first, end int) State {
	const prime = 1099511628211
	for layer := first; layer < end; layer++ {
		s = (s ^ State(layer+1)) * prime
		s ^= s >> 29
	}
	return s
}

// Token returns the token of a state after the last layer.
func (s State) Token() string {
	return fmt.Sprintf("%016x", uint64(s))
}

// Expected returns the tokens of a complete and correct response.
func Expected(prompt string, layers, count int) []string {
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = Start(prompt, i).Apply(0, layers).Token()
	}
	return tokens
}
