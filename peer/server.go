package peer

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// Serve serves calls of other daemons on the listener until ctx ends.
func (n *Node) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{node: n}); err != nil {
		return errors.Annotate(err, "peer server")
	}
	if n.options.Slots != nil {
		if err := peerpb.DRPCRegisterSlots(mux, n.options.Slots); err != nil {
			return errors.Annotate(err, "slots server")
		}
	}
	err := drpcserver.New(mux).Serve(ctx, listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Annotate(err, "peer server")
}

// server implements peerpb.DRPCPeerServer.
type server struct {
	node *Node
}

// Exchange implements peerpb.DRPCPeerServer.
func (s *server) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	n := s.node
	n.receive(ctx, request)
	position := n.options.Configuration.Position()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	fleet := len(n.view.Load().Serving)
	return &peerpb.ExchangeReply{
		Sender: encodeMember(n.state.Self()), Revision: uint64(position.Revision), Stored: uint64(position.StoreVersion),
		Directory: uint64(position.Directory), Evacuations: uint64(position.Evacuations), Rollouts: uint64(position.Rollouts),
		Updates: encodeMembers(n.state.Updates()), Drains: encodeDrains(n.drains.nextRecords(fleet)), Digest: n.digest(), CrashingRequests: encodeCrashingRequests(n.crashingRequests.nextRecords(fleet)), Limits: encodeLimits(n.limits.nextRecords(fleet)),
	}, nil
}

// Ping implements peerpb.DRPCPeerServer.
func (s *server) Ping(ctx context.Context, request *peerpb.PingRequest) (*peerpb.PingReply, error) {
	_, err := s.node.RevisionAt(ctx, request.Address)
	return &peerpb.PingReply{Reached: err == nil}, nil
}

// Members implements peerpb.DRPCPeerServer.
func (s *server) Members(_ context.Context, request *peerpb.MembersRequest) (*peerpb.MembersReply, error) {
	n := s.node
	sender := decodeMember(request.Sender)
	n.updateMembers(sender.Name, func(now time.Time) { n.state.ReceivedFrom(now, sender) })
	reply, err := encodeList(&peerpb.MemberList{
		Members: encodeMembers(n.Members()), Drains: encodeDrains(n.options.Drains.Records(maxListedDrains)),
		CrashingRequests: encodeCrashingRequests(n.options.Quarantine.Records(maxListedCrashingRequests)),
		Limits:           encodeLimits(n.options.Limits.Records(maxListedLimits)),
	})
	if err != nil {
		return nil, err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	reply.Forming = n.forming.isForming(time.Now())
	return reply, nil
}

// Changes implements peerpb.DRPCPeerServer.
func (s *server) Changes(_ context.Context, request *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	after := config.Position{
		Revision: config.Revision(request.After), StoreVersion: objectstore.Version(request.StoredAfter), Directory: objectstore.Version(request.DirectoryAfter),
		Evacuations: objectstore.Version(request.EvacuationsAfter), Rollouts: objectstore.Version(request.RolloutsAfter),
	}
	return s.node.changesAfter(after)
}
