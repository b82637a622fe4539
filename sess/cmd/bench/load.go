package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"fuchsiashelf.dev/sess/procs"
)

// spread is a distribution in milliseconds.
type spread struct{ Count, P50, P95, P99, Max float64 }

// figures are fsload's figures of a group of calls.
type figures struct {
	Offered, Whole, Refused, Failed, Lost, Wrong int
	TokensPerSecond                              float64
	First, Gap, Refusal                          spread
	Codes                                        map[string]int
}

// row is one row of fsload's time series.
type row struct {
	AtMs   float64
	Tokens int
}

// report is fsload's report.
type report struct {
	figures
	Skipped int
	Late    spread
	Teams   map[string]figures
	Faults  []struct {
		AtMs   float64
		NextMs []float64
		Ended  int
	}
	TickMs float64
	Series []row
}

// errWrong says that a caller got a wrong answer, which no load excuses.
var errWrong = errors.New("a caller got a wrong answer")

// load runs fsload against entry hosts. The name is that of the time series.
func (b *bench) load(w *procs.Cluster, name string, hosts []string, args ...string) (*report, error) {
	file, err := w.Path("fsload")
	if err != nil {
		return nil, err
	}
	var at []string
	for _, h := range hosts {
		p, err := w.Get(h)
		if err != nil {
			return nil, err
		}
		at = append(at, p.Addresses["callers"])
	}
	all := append([]string{
		"-entries", strings.Join(at, ","), "-service", service, "-layers", fmt.Sprint(layers),
		"-o", "json", "-progress", "0",
	}, args...)
	if b.series != "" {
		all = append(all, "-series", filepath.Join(b.series, name+".csv"))
	}
	cmd := exec.Command(file, all...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	r := &report{}
	if jsonErr := json.Unmarshal(out, r); jsonErr != nil {
		return nil, errors.Join(err, jsonErr)
	}
	if r.Wrong > 0 {
		return r, errWrong
	}
	return r, err
}
