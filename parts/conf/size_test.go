package conf_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
)

// targetSizeConfig returns a configuration of the target size: 600 backend
// servers in 38 pools of 19 models, 400 teams with two rules each, stops for a
// twentieth of the servers, and a full history.
func targetSizeConfig() *conf.Config {
	c := (*conf.Config)(nil).Clone()
	for i := range 38 {
		p := pool.Pool{Name: fmt.Sprintf("pool-%02d", i), Model: fmt.Sprintf("model-%02d", i/2), Layers: 80, Revision: 1}
		for s := range 600 / 38 {
			p.Servers = append(p.Servers, fmt.Sprintf("runner-%02d-%02d", i, s))
		}
		c.Pools[p.Name] = p
		c.Services[p.Model] = rule.Service{Name: p.Model, Model: p.Model, Retryable: true, Revision: 1}
	}
	for team := range 400 {
		for s := range 2 {
			c.Rules = append(c.Rules, rule.Rule{
				Service: fmt.Sprintf("model-%02d", (team+s)%19), Team: fmt.Sprintf("team-%03d", team),
				Pool: fmt.Sprintf("pool-%02d", team%38), Revision: 1,
			})
		}
	}
	for i := range 30 {
		name := fmt.Sprintf("runner-%02d-00", i)
		c.Stops[name] = conf.Stop{Server: name, At: time.Unix(1, 0), Revision: 1}
	}
	for i := range conf.MaxHistory {
		c.Revision++
		c.Record(conf.Line{
			ID: fmt.Sprintf("%016x", i), Revision: c.Revision, Operator: "operator-12", At: time.Unix(1, 0),
			Text: "add server runner-12-04 to pool pool-12", Resource: "pool pool-12",
		})
	}
	return c
}

// Guards against a configuration that outgrows the object API as the fleet
// grows to its target size.
func TestTargetSizeFits(t *testing.T) {
	value, err := targetSizeConfig().Encode()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(value) < 1<<19, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(value)))
}

func BenchmarkEncode(b *testing.B) {
	c := targetSizeConfig()
	for b.Loop() {
		value, err := c.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(value)), "bytes")
	}
}

func BenchmarkDecode(b *testing.B) {
	value, err := targetSizeConfig().Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := conf.Decode(value); err != nil {
			b.Fatal(err)
		}
	}
}
