package mesh

import (
	"context"

	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/wire"
)

// CallHandler handles the requests of other entry hosts about calls that must
// run at most once.
type CallHandler interface {
	// HandleCall reports the outcome of a claimed call, or runs a call under a
	// ticket of this entry host. The caller has checked the secret.
	HandleCall(ctx context.Context, ask *wire.CallAsk) *wire.CallReply
}

// Call passes a call of another entry host to Calls.
func (m *Mesh) Call(ctx context.Context, ask *wire.CallAsk) (*wire.CallReply, error) {
	if !EqualSecrets(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	if m.Calls == nil {
		return m.DRPCEntryUnimplementedServer.Call(ctx, ask)
	}
	return m.Calls.HandleCall(ctx, ask), nil
}
