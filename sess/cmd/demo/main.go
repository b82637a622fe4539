// Command demo starts the whole system on this machine, with stand-ins for the
// platform and the backend servers, and runs a short session.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/sess/procs"
)

func main() {
	bin := flag.String("bin", "bin", "directory with the programs")
	flag.Parse()
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	fmt.Println("demo: every answer was whole")
}

const layers = 24

// errStepFailed is returned for a step whose unexpected result was printed.
var errStepFailed = errors.New("a step failed, see above")

func run(bin string) error {
	return procs.RunScratch(bin, func(cluster *procs.Cluster) error {
		if err := startCluster(cluster); err != nil {
			return err
		}
		return runSession(cluster)
	})
}

func startCluster(cluster *procs.Cluster) error {
	if err := cluster.StartStore("cantata"); err != nil {
		return err
	}
	for _, dom := range []domain.Name{"porto-alegre", "caxias"} {
		for stage := range 3 {
			name := fmt.Sprintf("%s-%d", dom, stage+1)
			if err := cluster.StartEngine(name, dom, stage*8, stage*8+8); err != nil {
				return err
			}
		}
		if err := cluster.StartPlain("booking-"+string(dom), dom); err != nil {
			return err
		}
		for i := range 2 {
			if err := cluster.StartEntry(fmt.Sprintf("entry-%s-%d", dom, i+1), dom); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	firstEntry  = "entry-porto-alegre-1"
	secondEntry = "entry-caxias-1"
)

func runSession(cluster *procs.Cluster) error {
	for _, line := range []string{
		"create service assist model lotus",
		"create service booking path /booking repeat no",
		"create pool lake model lotus layers 24 servers porto-alegre-1 porto-alegre-2 porto-alegre-3 caxias-1 caxias-2 caxias-3",
		"create pool desks servers booking-porto-alegre booking-caxias",
		"route service assist to pool lake",
		"route service booking to pool desks",
	} {
		if err := runLine(cluster, line); err != nil {
			return err
		}
	}
	for _, entry := range []string{firstEntry, secondEntry} {
		if err := cluster.Ready(entry); err != nil {
			return err
		}
	}
	if err := generate(cluster, firstEntry, "when are the lanterns released?"); err != nil {
		return err
	}
	if err := callBooking(cluster); err != nil {
		return err
	}
	if err := runLine(cluster, "stop server caxias-2"); err != nil {
		return err
	}
	if err := runLine(cluster, "show stops"); err != nil {
		return err
	}
	return generate(cluster, secondEntry, "is there a ramp at the gate?")
}

func runLine(cluster *procs.Cluster, line string) error {
	output := ""
	err := procs.WaitFor(line, func() bool {
		output, _ = cluster.RunDesk(firstEntry, line)
		return strings.Contains(output, "\ndone")
	})
	fmt.Print(output)
	return err
}

const tokens = 8

func generate(cluster *procs.Cluster, entry, prompt string) error {
	resp, err := cluster.Generate(entry, "cantata", "assist", prompt, tokens)
	if err != nil {
		return err
	}
	verdict := resp.Check(prompt, layers, tokens)
	fmt.Printf("ask %s: %q\n  %s\n  %s\n", entry, prompt, strings.Join(resp.Tokens, " "), verdict)
	if !strings.HasPrefix(verdict, "whole") {
		return errStepFailed
	}
	return nil
}

func callBooking(cluster *procs.Cluster) error {
	reply, err := cluster.Call(secondEntry, "cantata", "POST", "/booking/seats?row=4", "seat-41", "two seats")
	if err != nil {
		return err
	}
	fmt.Printf("book %s: %d %s\n  %s\n", secondEntry, reply.Status, reply.Verdict, reply.Body)
	if reply.Status != 200 {
		return errStepFailed
	}
	return nil
}
