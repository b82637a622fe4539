// Package token derives the tokens that the stand-in engines generate.
//
// Each layer folds its number into a running state, and the state after the
// last layer is the token. So a layer that is left out, doubled, out of order
// or wrong changes the token, and a test compares answers with [Answer].
package token

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// State is the activation that servers hand on to each other.
type State uint64

// Start returns the state before the first layer for one token of an answer.
func Start(prompt string, index int) State {
	return State(xxhash.Sum64String(fmt.Sprintf("%s\x00%d", prompt, index)))
}

// Apply folds the layers [first, end) into the state.
func (s State) Apply(first, end int) State {
	const prime = 1099511628211
	for layer := first; layer < end; layer++ {
		s = (s ^ State(layer+1)) * prime
		s ^= s >> 29
	}
	return s
}

// Token returns the token of a state that has passed all layers.
func (s State) Token() string {
	return fmt.Sprintf("%016x", uint64(s))
}

// Answer returns the tokens of a whole answer.
func Answer(prompt string, layers, count int) []string {
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = Start(prompt, i).Apply(0, layers).Token()
	}
	return tokens
}
