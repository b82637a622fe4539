// Command rig plays one case of the review: it starts the project's program as separate processes,
// with stand-ins for the platform's store, servers and callers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// setup is what all cases share.
type setup struct {
	// root is the root of the repository, and dir a temporary folder.
	root, dir string
	rec       *record
	store     *store
	// trouble says whether the disruption happens.
	trouble bool
}

// cases are the cases by name.
var cases = map[string]func(setup) (broken bool, err error){
	"copy":  runCopy,
	"crash": runCrash,
	"half":  runHalf,
}

// ip is the address of the stand-ins.
func ip() string { return fmt.Sprintf("127.41.%d.1", os.Getpid()%250) }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return 2
	}
	if args[0] == "engine" {
		return serveEngine(args[1:])
	}
	play := cases[args[0]]
	if play == nil || len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return 2
	}
	broken, err := prepare(args[1], play)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// prepare starts the store with the first desired state and plays a case.
func prepare(folder string, play func(setup) (bool, error)) (broken bool, err error) {
	root, err := os.Getwd()
	if err != nil {
		return false, err
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer rec.file.Close()
	dir := os.Getenv("RIG_DIR")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rig"); err != nil {
			return false, err
		}
		defer os.RemoveAll(dir)
	}
	s := setup{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	if s.store, err = startStore(ip()); err != nil {
		return false, err
	}
	s.store.put("config", "main", configuration(7, 2000))
	broken, err = play(s)
	rec.printf("trouble: %v, broken: %v, error: %v", s.trouble, broken, err)
	return broken, err
}

func (s setup) startEntries() ([]*entry, error) { return startEntries(s.root, s.dir, s.store.address) }

// startPlainServers starts the three servers of the plain service, one in each zone.
func (s setup) startPlainServers(work func(id string) time.Duration) ([]*plainServer, error) {
	var list []*plainServer
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		p := &plainServer{id: fmt.Sprintf("i-%d%08x", i+1, os.Getpid()), zone: zone, rec: s.rec, store: s.store, work: work}
		if err := startPlain(p, ip()); err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}
