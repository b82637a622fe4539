package plan

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Choice is one element of a mix, with its weight.
type Choice struct {
	Name   string
	Weight float64
}

// Mix is a set of choices that are drawn by weight.
type Mix []Choice

// ParseMix parses "cantata:10,lyra:1". The default weight is 1.
func ParseMix(text string) (Mix, error) {
	var m Mix
	for part := range strings.SplitSeq(text, ",") {
		name, weight, found := strings.Cut(part, ":")
		if !found {
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

func (m Mix) draw(rng *rand.Rand) string {
	total := 0.0
	for _, choice := range m {
		total += choice.Weight
	}
	pick := rng.Float64() * total
	for _, choice := range m {
		if pick < choice.Weight {
			return choice.Name
		}
		pick -= choice.Weight
	}
	return m[len(m)-1].Name
}

// Sizes is a mix of response lengths, in tokens.
type Sizes struct {
	mix    Mix
	tokens map[string]int
}

// ParseSizes parses "16" or "16:3,64:1".
func ParseSizes(text string) (Sizes, error) {
	mix, err := ParseMix(text)
	if err != nil {
		return Sizes{}, err
	}
	s := Sizes{mix: mix, tokens: map[string]int{}}
	for _, choice := range mix {
		n, err := strconv.Atoi(choice.Name)
		if err != nil || n < 1 {
			return Sizes{}, fmt.Errorf("tokens: %q is not a number above 0", choice.Name)
		}
		s.tokens[choice.Name] = n
	}
	return s, nil
}

func (s Sizes) draw(r *rand.Rand) int {
	return s.tokens[s.mix.draw(r)]
}
