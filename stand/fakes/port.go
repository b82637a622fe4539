package fakes

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports lie below the kernel's ephemeral range. An ephemeral port could be taken
// by any outgoing connection after the probe, before the intended program listens
// on it.
const (
	firstPort = 20000
	portCount = 12000
	// portsPerProcess spaces the first ports of processes with successive IDs.
	portsPerProcess = 97
)

var ports struct {
	sync.Mutex
	next int
}

// FreeAddress returns a loopback address that nothing listens on. Within a process
// an address repeats only after the whole range has been used.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = os.Getpid() * portsPerProcess
	}
	for range portCount {
		ports.next++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+ports.next%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", fmt.Errorf("fakes: no free port from %d on", firstPort)
}
