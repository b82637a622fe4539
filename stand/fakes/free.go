package fakes

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports that Free hands out lie below those that the kernel gives to
// outgoing connections. One of theirs, once it is closed again, may be taken by
// any connection before the program that it was meant for listens on it.
const (
	firstPort = 20000
	ports     = 12000
	// stride spreads the programs of one machine over the range.
	stride = 97
)

var free struct {
	sync.Mutex
	next int
}

// FreeAddress returns an address of loopback that nothing listens on, and that is not
// handed out twice by this process.
func FreeAddress() (string, error) {
	free.Lock()
	defer free.Unlock()
	if free.next == 0 {
		free.next = os.Getpid() * stride
	}
	for range ports {
		free.next++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+free.next%ports)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", fmt.Errorf("plat: no port from %d on is free", firstPort)
}
