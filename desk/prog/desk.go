package prog

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/parts/wire"
)

// Outcomes of a command on the wire.
const (
	outcomeDone    = "done"
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
)

// client sends commands to entry hosts and prints their answers.
type client struct {
	*settings
	stdout io.Writer
}

// sendAll sends the commands in order and returns the exit status. Without
// -continue it stops at the first command that is not done, because later commands
// of a script may depend on it.
func (c *client) sendAll(ctx context.Context, lines []string) int {
	status := 0
	seen := c.seenRevision
	for i, text := range lines {
		answer := c.sendUntilAnswered(ctx, text, seen)
		c.printAnswer(text, answer)
		if c.seenRevision == 0 {
			seen = max(seen, answer.Revision)
		}
		if answer.Outcome == outcomeDone {
			continue
		}
		status = boot.ExitFailed
		if !c.keepGoing && i+1 < len(lines) {
			fmt.Fprintf(c.stdout, "stopped, %d lines not sent\n", len(lines)-i-1)
			return status
		}
	}
	return status
}

// sendUntilAnswered tries the entry hosts in order until one answers the
// command. A command that was sent and not answered may have taken effect, so
// every attempt carries the same ID, by which entry hosts recognize duplicates.
func (c *client) sendUntilAnswered(ctx context.Context, text string, seen uint64) *wire.Answer {
	line := &wire.Line{Secret: c.secret, Id: c.id, Operator: c.operator, Text: text, Seen: seen}
	if line.Id == "" {
		line.Id = newID()
	}
	answer := &wire.Answer{Outcome: outcomeRefused, Id: line.Id}
	for _, entry := range c.entryHostList() {
		reply, sent, err := c.send(ctx, entry, line)
		if err == nil {
			return reply
		}
		answer.Message = err.Error()
		if sent {
			answer.Outcome = outcomeUnknown
		}
	}
	return answer
}

// send sends a command to one entry host. sent reports whether the entry host
// may have received it.
func (c *client) send(ctx context.Context, entry string, line *wire.Line) (reply *wire.Answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	netConn, err := c.dial(ctx, entry)
	if err != nil {
		return nil, false, err
	}
	conn := drpcconn.New(netConn)
	defer conn.Close()
	reply, err = wire.NewDRPCDeskClient(conn).Run(ctx, line)
	return reply, true, err
}

// dialTimeout limits the time to connect to one entry host.
const dialTimeout = 3 * time.Second

// dial connects to an entry host. With TLS it completes the handshake first, so
// that no command is sent to a host without a certificate of the configured
// authority. The entry host verifies the client certificate only after that: a
// command that it rejects for this certificate has the outcome unknown, although
// it changed nothing.
func (c *client) dial(ctx context.Context, entry string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	config, err := c.certs.Client()
	if err != nil {
		return nil, err
	}
	if config == nil {
		return dialer.DialContext(ctx, "tcp", entry)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, "tcp", entry)
}

// idBytes is long enough that random IDs of different operators don't collide.
const idBytes = 8

func newID() string {
	raw := make([]byte, idBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
