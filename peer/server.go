package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/wait"
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
	server := drpcserver.NewWithOptions(phaseHandler{mux}, drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: inactivityTimeout}})
	return errors.Annotate(n.accept(ctx, listener, server), "peer server")
}

const (
	// inactivityTimeout is how long a connection may make no call. Daemons open connections for a call each.
	inactivityTimeout = 10 * time.Second
	// acceptRetryDelay is the time after which a connection is accepted again when the system could not provide one.
	acceptRetryDelay = 100 * time.Millisecond
)

// accept serves connections until ctx ends.
func (n *Node) accept(ctx context.Context, listener net.Listener, server *drpcserver.Server) error {
	var serving sync.WaitGroup
	defer serving.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			n.log.Warn("connection not accepted", "error", err)
			wait.Sleep(ctx, acceptRetryDelay)
			continue
		}
		connCtx, cancel := context.WithCancel(ctx)
		tracked := n.options.Connections.Add(func() {
			// drpc does not read, and so does not notice that the connection was closed, while it awaits the beginning of a call.
			cancel()
			conn.Close()
		})
		if tracked == nil {
			cancel()
			conn.Close()
			continue
		}
		serving.Go(func() {
			defer cancel()
			defer tracked.Remove()
			// An error means that the other daemon has closed the connection, or is none.
			_ = server.ServeOne(overload.NewContext(connCtx, tracked), conn)
		})
	}
}

// phaseHandler notes which connections serve calls: those on which none was made are closed first.
type phaseHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h phaseHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	connection := overload.FromContext(stream.Context())
	connection.SetPhase(overload.Serving)
	defer connection.SetPhase(overload.Idle)
	return h.Handler.HandleRPC(stream, rpc)
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
