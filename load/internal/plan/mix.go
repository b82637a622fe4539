package plan

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Choice is one alternative of a mix.
type Choice struct {
	Name   string
	Weight float64
}

// Mix is a set of alternatives that are drawn by weight.
type Mix []Choice

// ParseMix reads "cantata:10,lyra:1"; a part without a weight weighs 1.
func ParseMix(text string) (Mix, error) {
	var m Mix
	for part := range strings.SplitSeq(text, ",") {
		name, weight, weighed := strings.Cut(part, ":")
		if !weighed {
			weight = "1"
		}
		value, err := strconv.ParseFloat(weight, 64)
		if name == "" || err != nil || value <= 0 {
			return nil, fmt.Errorf("mix: %q is not NAME or NAME:WEIGHT", part)
		}
		m = append(m, Choice{Name: name, Weight: value})
	}
	return m, nil
}

func (m Mix) draw(r *rand.Rand) string {
	total := 0.0
	for _, p := range m {
		total += p.Weight
	}
	at := r.Float64() * total
	for _, p := range m {
		if at < p.Weight {
			return p.Name
		}
		at -= p.Weight
	}
	return m[len(m)-1].Name
}

// Sizes is a mix of answer lengths, in tokens.
type Sizes struct {
	mix    Mix
	tokens map[string]int
}

// ParseSizes reads "16" or "16:3,64:1".
func ParseSizes(text string) (Sizes, error) {
	mix, err := ParseMix(text)
	if err != nil {
		return Sizes{}, err
	}
	s := Sizes{mix: mix, tokens: map[string]int{}}
	for _, p := range mix {
		n, err := strconv.Atoi(p.Name)
		if err != nil || n < 1 {
			return Sizes{}, fmt.Errorf("tokens: %q is not a number above 0", p.Name)
		}
		s.tokens[p.Name] = n
	}
	return s, nil
}

func (s Sizes) draw(r *rand.Rand) int {
	return s.tokens[s.mix.draw(r)]
}
