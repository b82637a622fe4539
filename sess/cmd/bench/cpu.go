package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

// cpuSample measures how many processor cores the processes of the cluster
// used, and how many were idle, over a span of time. It shows whether the
// processor of the machine limited the throughput, instead of the step time of the
// engines.
type cpuSample struct {
	cluster   *procs.Cluster
	start     time.Time
	byProcess map[string]float64
	idle      float64
}

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// sampleCPU starts a measurement.
func sampleCPU(cluster *procs.Cluster) *cpuSample {
	s := &cpuSample{cluster: cluster, start: time.Now(), byProcess: map[string]float64{}, idle: idleSeconds()}
	for _, p := range cluster.All() {
		s.byProcess[p.Name] = cpuSeconds(p.PID())
	}
	return s
}

// since returns the cores that entry hosts and other processes used since the
// start, and the idle cores of the machine.
func (s *cpuSample) since() (entry, others, idle float64) {
	span := time.Since(s.start).Seconds()
	for _, p := range s.cluster.All() {
		used := max(0, cpuSeconds(p.PID())-s.byProcess[p.Name]) / span
		if p.Program == "fsentry" {
			entry += used
		} else {
			others += used
		}
	}
	return entry, others, (idleSeconds() - s.idle) / span
}

// cpuSeconds returns the processor time of a process.
func cpuSeconds(pid int) float64 {
	value, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(value), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12 // counted from the field after the program name
	if len(fields) <= system {
		return 0
	}
	return (parseNumber(fields[user]) + parseNumber(fields[system])) / ticksPerSecond
}

// idleSeconds returns the total idle time of all cores.
func idleSeconds() float64 {
	value, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(value), "\n")
	fields := strings.Fields(line)
	const idle, iowait = 4, 5
	if len(fields) <= iowait {
		return 0
	}
	return (parseNumber(fields[idle]) + parseNumber(fields[iowait])) / ticksPerSecond
}

func parseNumber(text string) float64 {
	value, _ := strconv.ParseFloat(text, 64)
	return value
}
