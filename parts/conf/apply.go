package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// MaxHistory is how many accepted lines a configuration keeps. At 490 lines a
// day it reaches back half a day.
const MaxHistory = 256

// Clone returns a copy whose maps and slices can be changed.
func (c *Config) Clone() *Config {
	next := &Config{}
	if c != nil {
		*next = *c
	}
	next.Services = cloned(next.Services)
	next.Pools = cloned(next.Pools)
	next.Stops = cloned(next.Stops)
	next.Rules = slices.Clone(next.Rules)
	next.History = slices.Clone(next.History)
	return next
}

func cloned[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// Decode reads the configuration object. An empty object is the empty
// configuration.
func Decode(value []byte) (*Config, error) {
	c := (*Config)(nil).Clone()
	if len(value) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(value, c); err != nil {
		return nil, fmt.Errorf("conf: decode: %w", err)
	}
	return c, nil
}

// Encode returns the form that the object API keeps.
func (c *Config) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// Find returns the record of a line that was accepted lately.
func (c *Config) Find(id string) (Line, bool) {
	if c == nil {
		return Line{}, false
	}
	for _, line := range c.History {
		if line.ID == id {
			return line, true
		}
	}
	return Line{}, false
}

// Record adds an accepted line, and drops the oldest beyond TailSize.
func (c *Config) Record(line Line) {
	c.History = append(c.History, line)
	if len(c.History) > MaxHistory {
		c.History = slices.Clone(c.History[len(c.History)-MaxHistory:])
	}
}
