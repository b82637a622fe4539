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

// quantiles is a distribution in milliseconds.
type quantiles struct{ Count, P50, P95, P99, Max float64 }

// summary is the part of the fsload report about a group of calls.
type summary struct {
	Offered, Whole, Refused, Failed, Lost, Wrong int
	TokensPerSecond                              float64
	First, Gap, Refusal                          quantiles
	Codes                                        map[string]int
}

// sample is one row of the time series of fsload.
type sample struct {
	AtMs   float64
	Tokens int
}

// report is the JSON report of fsload.
type report struct {
	summary
	Skipped int
	Late    quantiles
	Teams   map[string]summary
	Faults  []struct {
		AtMs   float64
		NextMs []float64
		Ended  int
	}
	TickMs float64
	Series []sample
}

// errWrongAnswer fails a measurement, because no load excuses a wrong response.
var errWrongAnswer = errors.New("a caller got a wrong answer")

// runLoad runs fsload against entry hosts. name is the name of the file with the
// time series.
func (b *bench) runLoad(cluster *procs.Cluster, name string, entryHosts []string, args ...string) (*report, error) {
	file, err := cluster.Path("fsload")
	if err != nil {
		return nil, err
	}
	var addrs []string
	for _, h := range entryHosts {
		p, err := cluster.Get(h)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, p.Addresses["callers"])
	}
	allArgs := append([]string{
		"-entries", strings.Join(addrs, ","), "-service", service, "-layers", fmt.Sprint(layers),
		"-o", "json", "-progress", "0",
	}, args...)
	if b.series != "" {
		allArgs = append(allArgs, "-series", filepath.Join(b.series, name+".csv"))
	}
	cmd := exec.Command(file, allArgs...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	r := &report{}
	if jsonErr := json.Unmarshal(out, r); jsonErr != nil {
		return nil, errors.Join(err, jsonErr)
	}
	if r.Wrong > 0 {
		return r, errWrongAnswer
	}
	return r, err
}
