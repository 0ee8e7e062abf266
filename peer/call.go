package peer

import (
	"context"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// Purposes of calls between daemons, by which their traffic is counted.
const (
	purposeExchange = "exchange"
	purposeMembers  = "members"
	purposeChanges  = "changes"
	purposeReach    = "reach"
	purposeTells    = "tells"
)

// call opens a connection to a daemon, makes one call and closes it.
func (n *Node) call(ctx context.Context, purpose, address string, invoke func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := n.options.Meter.For(purpose).Dial(ctx, address)
	if err != nil {
		return errors.Annotatef(err, "daemon at %s", address)
	}
	client := drpcconn.New(conn)
	defer client.Close()
	return errors.Annotatef(invoke(ctx, peerpb.NewDRPCPeerClient(client)), "daemon at %s", address)
}

// revisionOnly requests only the revision in force, without any changes.
const revisionOnly = ^uint64(0)

// RevisionAt returns the revision in force at a daemon.
func (n *Node) RevisionAt(ctx context.Context, address string) (config.Revision, error) {
	var revision config.Revision
	err := n.call(ctx, purposeReach, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Changes(ctx, &peerpb.ChangesRequest{After: revisionOnly, DirectoryAfter: revisionOnly, EvacuationsAfter: revisionOnly, RolloutsAfter: revisionOnly})
		if err != nil {
			return err
		}
		revision = config.Revision(reply.Revision)
		return nil
	})
	return revision, err
}

// FetchDocument fetches the changes that a daemon has and current lacks, and returns current with
// these changes applied. If the daemon has no configuration, current is returned unchanged.
func (n *Node) FetchDocument(ctx context.Context, address string, current config.Document) (config.Document, error) {
	var document config.Document
	err := n.call(ctx, purposeChanges, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Changes(ctx, &peerpb.ChangesRequest{
			After: uint64(current.Revision), StoredAfter: uint64(current.StoreVersion), DirectoryAfter: uint64(current.Directory.Revision),
			EvacuationsAfter: uint64(current.Evacuations.Revision), RolloutsAfter: uint64(current.Rollouts.Revision),
		})
		if err != nil {
			return err
		}
		document, err = applyReply(current, reply)
		return err
	})
	return document, err
}

func encodeMember(m membership.Member) *peerpb.Member {
	return &peerpb.Member{
		Name: m.Name, Region: m.Region, Zone: m.Zone, PeerAddress: m.PeerAddress, ForwardAddress: m.ForwardAddress,
		Incarnation: m.Incarnation, Status: peerpb.Status(m.Status), Cores: m.Cores,
	}
}

func encodeMembers(members []membership.Member) []*peerpb.Member {
	encoded := make([]*peerpb.Member, 0, len(members))
	for _, member := range members {
		encoded = append(encoded, encodeMember(member))
	}
	return encoded
}

func decodeMember(m *peerpb.Member) membership.Member {
	return membership.Member{
		Name: m.GetName(), Region: m.GetRegion(), Zone: m.GetZone(), PeerAddress: m.GetPeerAddress(),
		ForwardAddress: m.GetForwardAddress(), Incarnation: m.GetIncarnation(), Status: membership.Status(m.GetStatus()), Cores: m.GetCores(),
	}
}

func decodeMembers(encoded []*peerpb.Member) []membership.Member {
	members := make([]membership.Member, 0, len(encoded))
	for _, member := range encoded {
		members = append(members, decodeMember(member))
	}
	return members
}
