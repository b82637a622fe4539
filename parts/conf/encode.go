package conf

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// MaxHistory is how many accepted lines a configuration keeps: half a day at
// 490 lines a day.
const MaxHistory = 256

// Clone returns a copy whose maps and slices can be modified. The clone of a
// nil Config is empty.
func (c *Config) Clone() *Config {
	next := &Config{}
	if c != nil {
		*next = *c
	}
	next.Services = cloneMap(next.Services)
	next.Pools = cloneMap(next.Pools)
	next.Stops = cloneMap(next.Stops)
	next.Rules = slices.Clone(next.Rules)
	next.History = slices.Clone(next.History)
	return next
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// Decode decodes the configuration object. An empty value is the empty
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

// Encode returns the encoding that the object API stores.
func (c *Config) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// Find returns the record of a recently accepted line.
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

// Record appends an accepted line to the history, and drops the oldest lines
// beyond MaxHistory.
func (c *Config) Record(line Line) {
	c.History = append(c.History, line)
	if len(c.History) > MaxHistory {
		c.History = slices.Clone(c.History[len(c.History)-MaxHistory:])
	}
}
