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

// Secrets of the processes that this package starts.
const (
	PeerSecret = "peer-secret-of-tests"
	DeskSecret = "desk-secret-of-tests"
)

// StoreName is the name of the store's process.
const StoreName = "store"

// StartStore starts the store and writes a list of teams into it. Token returns
// the token of each team.
func (c *Cluster) StartStore(teams ...string) error {
	p, err := c.Start(StoreName, "fsstand", "store", "-name", StoreName)
	if err != nil {
		return err
	}
	directory := team.Directory{}
	for _, name := range teams {
		directory.Teams = append(directory.Teams, team.Team{
			Name: name, TokenHash: team.HashToken(Token(name)), Quota: quota.Quota{Share: 1},
		})
	}
	value, err := json.Marshal(directory)
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

// StartEngine starts an engine that runs the layers [first, end) of a model and
// adds its host to the host list.
func (c *Cluster) StartEngine(name string, dom domain.Name, first, end int, extraArgs ...string) error {
	args := append([]string{
		"engine", "-name", name, "-first", strconv.Itoa(first), "-end", strconv.Itoa(end),
	}, extraArgs...)
	if _, err := c.Start(name, "fsstand", args...); err != nil {
		return err
	}
	return c.SetHost(name, dom, host.Live)
}

// StartPlain starts a plain service and adds its host to the host list.
func (c *Cluster) StartPlain(name string, dom domain.Name) error {
	if _, err := c.Start(name, "fsstand", "plain", "-name", name); err != nil {
		return err
	}
	return c.SetHost(name, dom, host.Live)
}

// StartEntry starts an entry host and adds it to the host list.
func (c *Cluster) StartEntry(name string, dom domain.Name, extraArgs ...string) error {
	store, err := c.Get(StoreName)
	if err != nil {
		return err
	}
	storeAddr := store.Addresses["serve"]
	if c.partition != nil {
		if storeAddr, err = c.partition.storeProxy(name, dom, storeAddr); err != nil {
			return err
		}
	}
	args := append([]string{
		"-name", name, "-domain", string(dom), "-store", storeAddr,
		"-peer-secret", PeerSecret, "-desk-secret", DeskSecret,
	}, extraArgs...)
	args = append(args, c.cuts.sourceArgs(name)...)
	if _, err := c.Start(name, "fsentry", args...); err != nil {
		return err
	}
	return c.SetHost(name, dom, host.Live)
}

// SetHost adds the host of a process to the host list, or updates its state.
func (c *Cluster) SetHost(name string, dom domain.Name, state host.State) error {
	p, err := c.Get(name)
	if err != nil {
		return err
	}
	serve, err := c.cuts.proxy(p.Addresses["serve"])
	if err != nil {
		return err
	}
	h := host.Host{Name: name, Domain: dom, State: state}
	switch {
	case p.Program == "fsentry":
		h.Role, h.Address = host.Entry, p.Addresses["peers"]
	case p.Args[0] == "engine":
		h.Role, h.Address = host.Engine, serve
		h.Model = p.flagValue("model", "lotus")
		h.Kind = p.flagValue("kind", "std")
		h.First, _ = strconv.Atoi(p.flagValue("first", "0"))
		h.End, _ = strconv.Atoi(p.flagValue("end", "32"))
		h.Fencing = p.flagValue("fencing", "true") == "true"
	default:
		h.Role, h.Address = host.Plain, serve
	}
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = c.Control(StoreName, "PUT", "/hosts", value)
	return err
}

// flagValue returns the value of a flag that the process was started with, or
// fallback.
func (p *Process) flagValue(flag, fallback string) string {
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

// DeleteHost removes a host from the host list.
func (c *Cluster) DeleteHost(name string) error {
	_, err := c.Control(StoreName, "DELETE", "/hosts/"+name, nil)
	return err
}

// Control sends a request to the control listener of an fsstand process.
func (c *Cluster) Control(name, method, path string, body []byte) (string, error) {
	p, err := c.Get(name)
	if err != nil {
		return "", err
	}
	return do(method, "http://"+p.Addresses["control"]+path, body)
}

// InjectFault enables a fault of an fsstand process.
func (c *Cluster) InjectFault(name, kind, value string, count int) error {
	body := fmt.Sprintf(`{"kind":%q,"value":%q,"count":%d}`, kind, value, count)
	_, err := c.Control(name, "POST", "/fault", []byte(body))
	return err
}

// ClearFaults disables all faults of an fsstand process.
func (c *Cluster) ClearFaults(name string) error {
	_, err := c.Control(name, "DELETE", "/fault", nil)
	return err
}
