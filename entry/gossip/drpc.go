package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/stall"
)

// exchangeCall is the name of the RPC that sends a Message and returns one.
const exchangeCall = "/fuchsiashelf.Gossip/Exchange"

// HandleRPC implements drpc.Handler.
func (p *Peer) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc == tunnel.Call && p.Tunnels != nil {
		return p.Tunnels.HandleRPC(stream, rpc)
	}
	if rpc != exchangeCall {
		return fmt.Errorf("gossip: unknown call %q", rpc)
	}
	received := &Message{}
	if err := stream.MsgRecv(received, codec{}); err != nil {
		return err
	}
	return errors.Join(stream.MsgSend(p.Respond(received), codec{}), stream.CloseSend())
}

func (p *Peer) serve(ctx context.Context, l net.Listener) {
	err := tunnel.Serve(ctx, l, p)
	if err != nil && ctx.Err() == nil {
		p.Log.Error("peers: server stopped", "error", err)
	}
}

// client is a connection to another entry host. It makes one exchange at a time.
type client struct {
	address string
	// failing says that the last call failed, which is logged only once.
	failing bool

	mu   sync.Mutex
	busy bool
	conn *drpcconn.Conn
}

// acquire reserves the client and reports whether it was free.
func (c *client) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.busy = true
	return true
}

// release ends the reservation made by acquire.
func (c *client) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// call sends a message and receives the response. It connects first if there is no
// connection.
func (c *client) call(ctx context.Context, sent, received *Message) error {
	if c.conn == nil {
		var d net.Dialer
		raw, err := d.DialContext(ctx, "tcp", c.address)
		if err != nil {
			return err
		}
		stall.Restart(ctx)
		c.conn = drpcconn.New(raw)
	}
	err := c.conn.Invoke(ctx, exchangeCall, codec{}, sent, received)
	if err != nil {
		// The connection may be unusable. The next call opens a new one.
		err = errors.Join(err, c.conn.Close())
		c.conn = nil
	}
	return err
}

// close closes the connection unless an exchange is in progress.
func (c *client) close() {
	if !c.acquire() {
		return
	}
	defer c.release()
	if c.conn != nil {
		if err := c.conn.Close(); err != nil {
			c.failing = true
		}
		c.conn = nil
	}
}
