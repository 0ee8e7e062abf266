package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// Serve answers other daemons on the listener until ctx ends.
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
	n.take(ctx, request)
	position := n.options.Configuration.Position()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return &peerpb.ExchangeReply{
		Sender: encodeMember(n.state.Self()), Revision: uint64(position.Revision), Directory: uint64(position.Directory),
		Updates: encodeMembers(n.state.Updates()), Drains: n.drains.news(len(n.view.Load().Serving)), Digest: n.state.Digest(),
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
	n.change(func(now time.Time) { n.state.Heard(now, decodeMember(request.Sender)) })
	reply := &peerpb.MembersReply{Members: encodeMembers(n.Members())}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	reply.Drains = n.drains.draining()
	return reply, nil
}

// Changes implements peerpb.DRPCPeerServer.
func (s *server) Changes(_ context.Context, request *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	document := s.node.options.Configuration.Document()
	reply := &peerpb.ChangesReply{Revision: uint64(document.Revision)}
	if err := s.addDirectory(reply, document.Directory, config.Revision(request.DirectoryAfter)); err != nil {
		return nil, err
	}
	if request.After >= uint64(document.Revision) {
		return reply, nil
	}
	changes, reaches := document.ChangesAfter(config.Revision(request.After))
	if !reaches || request.After == 0 {
		data, err := s.node.encodings.documentOf(document)
		reply.Document = data
		return reply, err
	}
	for _, change := range changes {
		data, err := json.Marshal(change)
		if err != nil {
			return nil, errors.Annotate(err, "a configuration change")
		}
		reply.Changes = append(reply.Changes, data)
	}
	return reply, nil
}

// addDirectory adds what changed in the directory after a revision, or all of it.
func (s *server) addDirectory(reply *peerpb.ChangesReply, directory config.Directory, after config.Revision) (err error) {
	if after >= directory.Revision {
		return nil
	}
	if change, known := directory.ChangesAfter(after); known {
		reply.DirectoryChange, err = json.Marshal(change)
		return errors.Annotate(err, "a change of the directory")
	}
	reply.Directory, err = s.node.encodings.directoryOf(directory)
	return err
}
