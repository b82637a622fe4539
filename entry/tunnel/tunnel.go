// Package tunnel connects to backend servers through other entry hosts.
//
// An entry host that is cut off from a server, while another entry host reaches it, opens
// a tunnel: it connects to that host, the peer, which connects to the server and copies
// bytes. What is sent, retried and reported stays the decision of the host that opened the
// tunnel, so that the promises to its callers do not depend on a second router.
//
// A tunnel has one hop: a peer connects directly, and only to servers that it knows. The
// end of the server's bytes is a message of its own, because a connection that ends when
// the peer is killed must not look like the end of a response.
//
// [Open] opens a tunnel, and a [Server] is the peer's side. Package dialer decides when.
package tunnel

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Call is the name of the RPC.
const Call = "/fuchsiashelf.Tunnel/Open"

// kind is the kind of a message, its first byte.
type kind byte

const (
	// kindOpen is the first message to the peer, an openRequest.
	kindOpen kind = iota + 1
	// kindOpened says that the server accepted the connection.
	kindOpened
	// kindFailed says that the server did not; the body is a failure.
	kindFailed
	// kindData carries bytes.
	kindData
	// kindEnd says that the server has sent all its bytes.
	kindEnd
)

// maxData is the largest body of a data message.
const maxData = 16 << 10

// openRequest asks for a connection to a server.
type openRequest struct {
	Address string
	// Secret is the secret of the entry hosts, if they have one.
	Secret string
}

// failure says why a peer did not connect to a server.
type failure struct {
	Message string
	// Rejected says that the peer did not try.
	Rejected bool
}

// message is one message of a tunnel.
type message struct {
	kind kind
	body []byte
}

var errEmpty = errors.New("tunnel: empty message")

// encoding encodes messages.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	msg := m.(*message)
	return append([]byte{byte(msg.kind)}, msg.body...), nil
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	if len(b) == 0 {
		return errEmpty
	}
	msg := m.(*message)
	// The buffer is used again.
	msg.kind, msg.body = kind(b[0]), append([]byte(nil), b[1:]...)
	return nil
}

// encode returns a message whose body is a structure.
func encode(k kind, body any) (*message, error) {
	encoded, err := cbor.Marshal(body)
	return &message{kind: k, body: encoded}, err
}

// decode reads the body of a message of a kind into a structure.
func (m *message) decode(k kind, body any) error {
	if m.kind != k {
		return fmt.Errorf("tunnel: message of kind %d in place of %d", m.kind, k)
	}
	return cbor.Unmarshal(m.body, body)
}
