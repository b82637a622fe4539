package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"fuchsiashelf.dev/sess/procs"
)

// usage measures how much of the machine a span of time took: by the bench's
// own processes and by all. It shows whether the machine, and not the
// engines' time, was what bound.
type usage struct {
	world *procs.Cluster
	at    time.Time
	own   map[string]float64
	idle  float64
}

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

func measure(w *procs.Cluster) *usage {
	u := &usage{world: w, at: time.Now(), own: map[string]float64{}, idle: idleSeconds()}
	for _, p := range w.All() {
		u.own[p.Name] = cpuSeconds(p.PID())
	}
	return u
}

// since returns the cores that the processes of the world used since, by
// program, and the cores of the machine that were idle.
func (u *usage) since() (entry, engines, idle float64) {
	span := time.Since(u.at).Seconds()
	for _, p := range u.world.All() {
		used := max(0, cpuSeconds(p.PID())-u.own[p.Name]) / span
		if p.Program == "fsentry" {
			entry += used
		} else {
			engines += used
		}
	}
	return entry, engines, (idleSeconds() - u.idle) / span
}

// cpuSeconds returns the processor time of a process.
func cpuSeconds(pid int) float64 {
	value, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(value), ") ")
	words := strings.Fields(rest)
	const user, system = 11, 12
	if len(words) <= system {
		return 0
	}
	return (number(words[user]) + number(words[system])) / ticksPerSecond
}

// idleSeconds returns the time that all cores together were idle.
func idleSeconds() float64 {
	value, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(value), "\n")
	words := strings.Fields(line)
	const idle, wait = 4, 5
	if len(words) <= wait {
		return 0
	}
	return (number(words[idle]) + number(words[wait])) / ticksPerSecond
}

func number(text string) float64 {
	value, _ := strconv.ParseFloat(text, 64)
	return value
}
