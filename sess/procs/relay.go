package procs

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
)

// relays stands between the processes of a world, so that failure domains can
// be cut off from each other. Entry hosts reach the store through a face of
// their own domain, whose host list names a relay for each host. A relay
// passes no bytes between domains that are parted: what is sent arrives late,
// as in a network partition.
type relays struct {
	mu sync.Mutex
	// faces holds the addresses of the store's faces by domain.
	faces map[domain.Name]string
	// paths holds the relays' addresses by domain of the caller and address
	// of the host.
	paths     map[path]string
	listeners []net.Listener
	homes     map[string]domain.Name
	// island is the domain that is cut off; empty for none.
	island domain.Name
	// healed is closed when the island ends.
	healed chan struct{}
	// holding counts the connections whose bytes are held back.
	holding sync.WaitGroup
}

type path struct {
	from domain.Name
	to   string
}

// EnablePartitions lets failure domains be cut off from each other. Call it before
// any entry host starts.
func (w *Cluster) EnablePartitions() {
	w.relays = &relays{
		faces: map[domain.Name]string{}, paths: map[path]string{}, homes: map[string]domain.Name{},
	}
}

// Partition cuts a failure domain off from the others, but not from the store.
func (w *Cluster) Partition(in domain.Name) {
	w.relays.mu.Lock()
	defer w.relays.mu.Unlock()
	w.relays.island, w.relays.healed = in, make(chan struct{})
}

// Isolate cuts a failure domain off from the others and from the store.
func (w *Cluster) Isolate(in domain.Name) error {
	w.Partition(in)
	w.relays.mu.Lock()
	var entries []string
	for name, home := range w.relays.homes {
		if home == in {
			entries = append(entries, name)
		}
	}
	w.relays.mu.Unlock()
	return w.InjectFault(StoreName, "cut", strings.Join(entries, ","), 0)
}

// Reconnect ends the island. What was held back arrives late, as after a
// partition; Reconnect returns when it has been passed on.
func (w *Cluster) Reconnect() error {
	w.relays.mu.Lock()
	w.relays.island = ""
	close(w.relays.healed)
	w.relays.mu.Unlock()
	w.relays.holding.Wait()
	return w.ClearFaults(StoreName)
}

// face returns the address of the store as entry hosts of a domain see it.
func (r *relays) face(name string, in domain.Name, store string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.homes[name] = in
	if r.faces[in] != "" {
		return r.faces[in], nil
	}
	l, err := r.listen()
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	// A watch that is given up is no error worth a line.
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ModifyResponse = func(resp *http.Response) error { return r.rewrite(resp, in) }
	go func() { _ = http.Serve(l, proxy) }()
	r.faces[in] = l.Addr().String()
	return r.faces[in], nil
}

// rewrite names a relay for each host of a host list.
func (r *relays) rewrite(resp *http.Response, in domain.Name) error {
	if resp.Request.URL.Path != "/v1/hosts" || resp.StatusCode != http.StatusOK {
		return nil
	}
	var list host.List
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return err
	}
	for i, h := range list.Hosts {
		address, err := r.relay(in, h.Domain, h.Address)
		if err != nil {
			return err
		}
		list.Hosts[i].Address = address
	}
	value, err := json.Marshal(list)
	if err != nil {
		return err
	}
	resp.Body = io.NopCloser(bytes.NewReader(value))
	resp.ContentLength = int64(len(value))
	resp.Header.Set("Content-Length", strconv.Itoa(len(value)))
	return nil
}

// relay returns the address at which a domain reaches a host.
func (r *relays) relay(from, in domain.Name, to string) (string, error) {
	if from == in {
		return to, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := path{from, to}
	if r.paths[key] != "" {
		return r.paths[key], nil
	}
	l, err := r.listen()
	if err != nil {
		return "", err
	}
	go r.accept(l, from, in, to)
	r.paths[key] = l.Addr().String()
	return r.paths[key], nil
}

func (r *relays) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		r.listeners = append(r.listeners, l)
	}
	return l, err
}

func (r *relays) accept(l net.Listener, from, in domain.Name, to string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.carry(conn, from, in, to)
	}
}

func (r *relays) carry(conn net.Conn, from, in domain.Name, to string) {
	defer conn.Close()
	r.hold(from, in)()
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pass := func(dst, src net.Conn) {
		r.pass(dst, src, from, in)
		done <- struct{}{}
	}
	go pass(out, conn)
	go pass(conn, out)
	<-done
}

// pass copies until either side ends, and holds bytes back while the two
// domains are parted.
func (r *relays) pass(dst, src net.Conn, from, in domain.Name) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		release := r.hold(from, in)
		if n > 0 {
			if _, failed := dst.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		release()
		if err != nil {
			return
		}
	}
}

// hold waits for as long as two domains are parted. The function that it
// returns says that what was held back has been passed on.
func (r *relays) hold(from, in domain.Name) (release func()) {
	r.mu.Lock()
	parted := r.island != "" && (from == r.island || in == r.island)
	healed := r.healed
	if parted {
		r.holding.Add(1)
	}
	r.mu.Unlock()
	if !parted {
		return func() {}
	}
	<-healed
	return r.holding.Done
}

// close ends all relays.
func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	if r.island != "" {
		r.island = ""
		close(r.healed)
	}
}
