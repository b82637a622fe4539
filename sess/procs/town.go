package procs

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/quota"
	"fuchsiashelf.dev/parts/team"
)

// The secrets of the processes that this package starts.
const (
	PeerSecret = "peer-secret-of-tests"
	DeskSecret = "desk-secret-of-tests"
)

// StoreName is the name of the process that plays the platform's store.
const StoreName = "store"

// StartStore starts the store and writes a book of teams into it. The token
// of team t is token-t.
func (w *Cluster) StartStore(teams ...string) error {
	p, err := w.Start(StoreName, "fsstand", "store", "-name", StoreName)
	if err != nil {
		return err
	}
	book := team.Directory{}
	for _, name := range teams {
		book.Teams = append(book.Teams, team.Team{
			Name: name, TokenHash: team.HashToken(Token(name)), Quota: quota.Quota{Share: 1},
		})
	}
	value, err := json.Marshal(book)
	if err != nil {
		return err
	}
	_, err = do("PUT", "http://"+p.Addresses["serve"]+"/v1/objects/config/teams", value, "If-Match", "0")
	return err
}

// Token returns the bearer token of a team.
func Token(team string) string {
	return "token-" + team
}

// StartEngine starts an engine that holds the layers [first, end) of a model
// and lists its host.
func (w *Cluster) StartEngine(name string, in domain.Name, first, end int, more ...string) error {
	args := append([]string{
		"engine", "-name", name, "-first", strconv.Itoa(first), "-end", strconv.Itoa(end),
	}, more...)
	if _, err := w.Start(name, "fsstand", args...); err != nil {
		return err
	}
	return w.SetHost(name, in, host.Live)
}

// StartPlain starts a plain service and lists its host.
func (w *Cluster) StartPlain(name string, in domain.Name) error {
	if _, err := w.Start(name, "fsstand", "plain", "-name", name); err != nil {
		return err
	}
	return w.SetHost(name, in, host.Live)
}

// StartEntry starts an entry host and lists it.
func (w *Cluster) StartEntry(name string, in domain.Name, more ...string) error {
	s, err := w.Get(StoreName)
	if err != nil {
		return err
	}
	api := s.Addresses["serve"]
	if w.relays != nil {
		if api, err = w.relays.face(name, in, api); err != nil {
			return err
		}
	}
	args := append([]string{
		"-name", name, "-domain", string(in), "-store", api,
		"-peer-secret", PeerSecret, "-desk-secret", DeskSecret,
	}, more...)
	if _, err := w.Start(name, "fsentry", args...); err != nil {
		return err
	}
	return w.SetHost(name, in, host.Live)
}

// SetHost puts the host of a process into the host list, or changes its state.
func (w *Cluster) SetHost(name string, in domain.Name, state host.State) error {
	p, err := w.Get(name)
	if err != nil {
		return err
	}
	h := host.Host{Name: name, Domain: in, State: state}
	switch {
	case p.Program == "fsentry":
		h.Role, h.Address = host.Entry, p.Addresses["peers"]
	case p.Args[0] == "engine":
		h.Role, h.Address = host.Engine, p.Addresses["serve"]
		h.Model = p.arg("model", "lotus")
		h.Kind = p.arg("kind", "std")
		h.First, _ = strconv.Atoi(p.arg("first", "0"))
		h.End, _ = strconv.Atoi(p.arg("end", "32"))
		h.Fencing = p.arg("fencing", "true") == "true"
	default:
		h.Role, h.Address = host.Plain, p.Addresses["serve"]
	}
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = w.Control(StoreName, "PUT", "/hosts", value)
	return err
}

// arg returns the value of a flag that the process was started with.
func (p *Process) arg(flag, fallback string) string {
	for i, a := range p.Args {
		if value, ok := strings.CutPrefix(a, "-"+flag+"="); ok {
			return value
		}
		if a == "-"+flag && i+1 < len(p.Args) {
			return p.Args[i+1]
		}
	}
	return fallback
}

// DeleteHost takes a host out of the host list.
func (w *Cluster) DeleteHost(name string) error {
	_, err := w.Control(StoreName, "DELETE", "/hosts/"+name, nil)
	return err
}

// Control makes a call on the control listener of a stand-in.
func (w *Cluster) Control(name, method, path string, body []byte) (string, error) {
	p, err := w.Get(name)
	if err != nil {
		return "", err
	}
	return do(method, "http://"+p.Addresses["control"]+path, body)
}

// InjectFault switches a fault of a stand-in on.
func (w *Cluster) InjectFault(name, kind, value string, count int) error {
	body := fmt.Sprintf(`{"kind":%q,"value":%q,"count":%d}`, kind, value, count)
	_, err := w.Control(name, "POST", "/fault", []byte(body))
	return err
}

// ClearFaults switches all faults of a stand-in off.
func (w *Cluster) ClearFaults(name string) error {
	_, err := w.Control(name, "DELETE", "/fault", nil)
	return err
}
