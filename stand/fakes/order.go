package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type layersBody struct {
	First   int `json:"from"`
	End     int `json:"target"`
	Version int `json:"version"`
}

func (r *Server) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type stalled struct {
		ID      string `json:"id"`
		Address string `json:"address"`
	}
	list := []stalled{}
	for id, address := range r.stalled {
		list = append(list, stalled{id, address})
	}
	answer(w, map[string]any{
		"stage": "both", "busy": r.busy, "sequence": r.orders, "born": 1_700_000_000_000,
		"layers": layersBody{r.first, r.end, 1}, "stalled": list,
	})
}

// order takes an order to hold layers or to change a chain.
func (r *Server) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation string  `json:"operation"`
		First     int     `json:"from"`
		End       int     `json:"target"`
		Expected  *uint64 `json:"expected"`
		ID        string  `json:"id"`
		Path      string  `json:"path"`
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := req.Header.Get("X-Expect-Instance"); expect != "" && expect != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Operation == "repath" {
		w.WriteHeader(r.repath(o.ID, o.Path))
		return
	}
	w.WriteHeader(r.place(o.First, o.End, o.Expected))
}

func (r *Server) place(first, end int, expected *uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first == first && r.end == end {
		return http.StatusOK
	}
	if r.busy || expected != nil && *expected != r.orders {
		return http.StatusConflict
	}
	if float64(end-first)*r.Model.LayerMB > r.MemoryMB {
		r.world.fault("%s: ordered to hold %d layers", r.ID, end-first)
		return http.StatusBadRequest
	}
	r.orders++
	r.busy = true
	time.AfterFunc(r.LoadTime, func() {
		r.mu.Lock()
		r.first, r.end, r.busy = first, end, false
		r.mu.Unlock()
		if !r.dead() {
			_ = r.beat()
		}
	})
	return http.StatusAccepted
}

func (r *Server) repath(id, path string) int {
	parts, err := parse(path)
	if err != nil {
		return http.StatusBadRequest
	}
	r.mu.Lock()
	change := r.chains[id]
	r.mu.Unlock()
	if change == nil {
		return http.StatusNotFound
	}
	r.check(id, path, parts)
	if r.broken(parts) != "" {
		return http.StatusConflict
	}
	change <- parts
	return http.StatusAccepted
}

// part is one server's part of a chain.
type part struct {
	address    string
	first, end int
}

func parse(path string) ([]part, error) {
	var list []part
	for entry := range strings.SplitSeq(path, ",") {
		address, layers, _ := strings.Cut(entry, "=")
		first, end, _ := strings.Cut(layers, "-")
		f, err := strconv.Atoi(first)
		e, endErr := strconv.Atoi(end)
		if err != nil || endErr != nil {
			return nil, fmt.Errorf("chain %q", path)
		}
		list = append(list, part{address, f, e})
	}
	return list, nil
}

// check writes down a chain that does not run each layer once and in order.
func (r *Server) check(id, path string, parts []part) {
	at := 0
	for _, p := range parts {
		if p.first != at {
			r.world.fault("%s: chain %s", id, path)
			return
		}
		at = p.end
	}
	if at != r.Model.Layers {
		r.world.fault("%s: chain %s", id, path)
	}
}

// broken returns the address of a part that is not there.
func (r *Server) broken(parts []part) string {
	for _, p := range parts {
		other := r.world.at(p.address)
		if other == nil {
			return p.address
		}
		first, end := other.Layers()
		if first > p.first || end < p.end {
			return p.address
		}
	}
	return ""
}
