package mesh

import (
	"context"

	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/wire"
)

// CallHandler answers other entry hosts about calls that may not be repeated.
type CallHandler interface {
	Answer(ctx context.Context, ask *wire.CallAsk) *wire.CallReply
}

// Call implements the call of the other entry hosts.
func (m *Mesh) Call(ctx context.Context, ask *wire.CallAsk) (*wire.CallReply, error) {
	if !EqualSecrets(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	if m.Calls == nil {
		return m.DRPCEntryUnimplementedServer.Call(ctx, ask)
	}
	return m.Calls.Answer(ctx, ask), nil
}
