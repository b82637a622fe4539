package procs

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// relays stands between the processes of a world, so that failure domains can
// be cut off from each other: the host list then names the address of a
// relay for each host, and a relay passes no bytes between domains that are
// parted. Parted processes see silence, as in a network partition, not a
// closed connection.
type relays struct {
	world *World

	mu     sync.Mutex
	byName map[string]net.Listener
	homes  map[string]domain.Name
	// island is the domain that is cut off; empty for none.
	island domain.Name
	// healed is closed when the island ends.
	healed chan struct{}
	// holding counts the connections whose bytes are held back.
	holding sync.WaitGroup
}

// Cuttable lets failure domains be cut off from each other. Call it before
// any host is listed.
func (w *World) Cuttable() {
	w.relays = &relays{world: w, byName: map[string]net.Listener{}, homes: map[string]domain.Name{}}
}

// Part cuts a failure domain off from the others, but not from the store.
func (w *World) Part(in domain.Name) {
	w.relays.mu.Lock()
	defer w.relays.mu.Unlock()
	w.relays.island, w.relays.healed = in, make(chan struct{})
}

// Island cuts a failure domain off from the others and from the store.
func (w *World) Island(in domain.Name) error {
	w.Part(in)
	w.relays.mu.Lock()
	var entries []string
	for name, home := range w.relays.homes {
		if home == in {
			entries = append(entries, name)
		}
	}
	w.relays.mu.Unlock()
	return w.Fault(StoreName, "cut", strings.Join(entries, ","), 0)
}

// Rejoin ends the island. What was held back arrives late, as after a
// partition; Rejoin returns when it has been passed on.
func (w *World) Rejoin() error {
	w.relays.mu.Lock()
	w.relays.island = ""
	close(w.relays.healed)
	w.relays.mu.Unlock()
	w.relays.holding.Wait()
	return w.Heal(StoreName)
}

// address returns the address to list for a host.
func (r *relays) address(name string, in domain.Name, to string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.homes[name] = in
	if l := r.byName[name]; l != nil {
		return l.Addr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.byName[name] = l
	go r.accept(l, in, to)
	return l.Addr().String(), nil
}

func (r *relays) accept(l net.Listener, in domain.Name, to string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.carry(conn, in, to)
	}
}

func (r *relays) carry(conn net.Conn, in domain.Name, to string) {
	defer conn.Close()
	from := r.caller(conn)
	if from == "" {
		return
	}
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
func (r *relays) pass(dst, src net.Conn, from string, in domain.Name) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		release := r.hold(from, in)
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				release()
				return
			}
		}
		release()
		if err == io.EOF {
			if half, ok := dst.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// hold waits for as long as a process and a domain are parted. The function
// that it returns says that what was held back has been passed on.
func (r *relays) hold(from string, in domain.Name) (release func()) {
	r.mu.Lock()
	home := r.homes[from]
	parted := home != in && r.island != "" && (home == r.island || in == r.island)
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

// lookups is how often the caller of a connection is looked for. The kernel's
// table is not read in one piece, so that a look may miss a socket.
const lookups = 50

// caller names the process at the other end of a connection: the one that has
// the socket open whose local address is the remote address here. It is empty
// if the process has closed it already.
func (r *relays) caller(conn net.Conn) string {
	for range lookups {
		inode := socketInode(conn.RemoteAddr().(*net.TCPAddr))
		for _, p := range r.world.All() {
			if inode != "" && p.holds(inode) {
				return p.Name
			}
		}
		time.Sleep(readyTick / lookups)
	}
	return ""
}

// socketInode finds the socket with a local address in the kernel's table.
func socketInode(local *net.TCPAddr) string {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	ip := local.IP.To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], local.Port)
	const localField, inodeField = 1, 9
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[localField] == want {
			return fields[inodeField]
		}
	}
	return ""
}

// holds reports whether the process has a socket open.
func (p *Proc) holds(inode string) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// close ends all relays.
func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.byName {
		_ = l.Close()
	}
	if r.island != "" {
		r.island = ""
		close(r.healed)
	}
}
