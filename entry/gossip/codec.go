package gossip

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Sizes in bytes.
const (
	// minDeflateSize is the size from which messages are compressed. An uncompressed
	// configuration with thousands of routes, sent to a dozen entry hosts at once,
	// would occupy a slow link for longer than the timeout of an exchange.
	minDeflateSize = 2 << 10
	// maxMessageSize limits a decompressed message, so that a small compressed one
	// cannot exhaust memory.
	maxMessageSize = 32 << 20
)

// Formats of a message, given by its first byte.
const (
	formatPlain byte = iota
	formatDeflate
)

var (
	errEmpty    = errors.New("gossip: empty message")
	errTooLarge = errors.New("gossip: decompressed message too large")
)

// deflaters pools compressors, because each allocates large tables.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	return w
}}

// inflaters pools decompressors, for the same reason.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// codec encodes messages as CBOR and compresses large ones.
type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(m drpc.Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(body) < minDeflateSize {
		return append([]byte{formatPlain}, body...), nil
	}
	var out bytes.Buffer
	out.WriteByte(formatDeflate)
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(b []byte, m drpc.Message) error {
	if len(b) == 0 {
		return errEmpty
	}
	switch format, body := b[0], b[1:]; format {
	case formatPlain:
		return cbor.Unmarshal(body, m)
	case formatDeflate:
		plain, err := inflate(body)
		if err != nil {
			return err
		}
		return cbor.Unmarshal(plain, m)
	default:
		return fmt.Errorf("gossip: unknown message format %d", format)
	}
}

// inflate decompresses a message body.
func inflate(body []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(body), nil); err != nil {
		return nil, fmt.Errorf("gossip: inflate: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxMessageSize+1))
	if err != nil {
		return nil, fmt.Errorf("gossip: inflate: %w", err)
	}
	if len(plain) > maxMessageSize {
		return nil, errTooLarge
	}
	return plain, nil
}
