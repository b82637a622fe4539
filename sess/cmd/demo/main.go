// Command demo starts the whole system on this machine, with stand-ins for
// its neighbours, and shows one session.
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

// errShown says that a step of the session did not end as it should.
var errShown = errors.New("a step failed, see above")

func run(bin string) error {
	return procs.RunScratch(bin, func(w *procs.Cluster) error {
		if err := start(w); err != nil {
			return err
		}
		return session(w)
	})
}

func start(w *procs.Cluster) error {
	if err := w.StartStore("cantata"); err != nil {
		return err
	}
	for _, in := range []domain.Name{"porto-alegre", "caxias"} {
		for stage := range 3 {
			name := fmt.Sprintf("%s-%d", in, stage+1)
			if err := w.StartEngine(name, in, stage*8, stage*8+8); err != nil {
				return err
			}
		}
		if err := w.StartPlain("booking-"+string(in), in); err != nil {
			return err
		}
		for i := range 2 {
			if err := w.StartEntry(fmt.Sprintf("entry-%s-%d", in, i+1), in); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	first  = "entry-porto-alegre-1"
	second = "entry-caxias-1"
)

func session(w *procs.Cluster) error {
	for _, line := range []string{
		"create service assist model lotus",
		"create service booking path /booking repeat no",
		"create pool lake model lotus layers 24 servers porto-alegre-1 porto-alegre-2 porto-alegre-3 caxias-1 caxias-2 caxias-3",
		"create pool desks servers booking-porto-alegre booking-caxias",
		"route service assist to pool lake",
		"route service booking to pool desks",
	} {
		if err := desk(w, line); err != nil {
			return err
		}
	}
	for _, entry := range []string{first, second} {
		if err := w.Ready(entry); err != nil {
			return err
		}
	}
	if err := ask(w, first, "when are the lanterns released?"); err != nil {
		return err
	}
	if err := book(w); err != nil {
		return err
	}
	if err := desk(w, "stop server caxias-2"); err != nil {
		return err
	}
	if err := desk(w, "show stops"); err != nil {
		return err
	}
	return ask(w, second, "is there a ramp at the gate?")
}

func desk(w *procs.Cluster, line string) error {
	out := ""
	err := procs.WaitFor(line, func() bool {
		out, _ = w.RunDesk(first, line)
		return strings.Contains(out, "\ndone")
	})
	fmt.Print(out)
	return err
}

const tokens = 8

func ask(w *procs.Cluster, entry, prompt string) error {
	answer, err := w.Generate(entry, "cantata", "assist", prompt, tokens)
	if err != nil {
		return err
	}
	verdict := answer.Check(prompt, layers, tokens)
	fmt.Printf("ask %s: %q\n  %s\n  %s\n", entry, prompt, strings.Join(answer.Tokens, " "), verdict)
	if !strings.HasPrefix(verdict, "whole") {
		return errShown
	}
	return nil
}

func book(w *procs.Cluster) error {
	reply, err := w.Call(second, "cantata", "POST", "/booking/seats?row=4", "seat-41", "two seats")
	if err != nil {
		return err
	}
	fmt.Printf("book %s: %d %s\n  %s\n", second, reply.Status, reply.Verdict, reply.Body)
	if reply.Status != 200 {
		return errShown
	}
	return nil
}
