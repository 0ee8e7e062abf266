package peer

import (
	"context"
	"sync"

	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// purposeRenewed is the purpose under which the traffic of renewal notices is counted.
const purposeRenewed = "renewed"

// NotifyRenewal tells the other daemons selected for a key to watch the store that the store has
// answered this daemon's watch of a source. It blocks until all were told or their calls failed.
func (n *Node) NotifyRenewal(ctx context.Context, key string, count int, source string) {
	view := n.View()
	var calls sync.WaitGroup
	for _, watcher := range view.chosenMembers(key, count) {
		if watcher.Name == view.self {
			continue
		}
		calls.Go(func() {
			err := n.call(ctx, purposeRenewed, watcher.PeerAddress, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
				_, err := client.Renewed(ctx, &peerpb.RenewedRequest{Source: source})
				return err
			})
			if err != nil {
				n.log.Debug("renewal notice not delivered", "member", watcher.Name, "error", err)
			}
		})
	}
	calls.Wait()
}

// Renewed implements peerpb.DRPCPeerServer.
func (s *server) Renewed(_ context.Context, request *peerpb.RenewedRequest) (*peerpb.RenewedReply, error) {
	s.node.options.Configuration.RecordRenewal(request.Source)
	return &peerpb.RenewedReply{}, nil
}
