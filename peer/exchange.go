package peer

import (
	"context"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// heartbeat exchanges state with the next member, or joins if no other member is known.
func (n *Node) heartbeat(ctx context.Context) {
	var target membership.Member
	var found bool
	n.updateMembers(sourceTimeout, func(now time.Time) {
		n.state.Tick(now)
		target, found = n.state.NextPeer()
	})
	if !found {
		n.join(ctx, initialSeedQueries, 0)
		return
	}
	go n.exchangeOrSuspect(ctx, target)
}

// slowAnswerThreshold is the time within which members answer heartbeats, unless they or the
// network path to them are impaired.
const slowAnswerThreshold = 250 * time.Millisecond

func (n *Node) exchangeOrSuspect(ctx context.Context, target membership.Member) {
	slowAnswer := time.AfterFunc(slowAnswerThreshold, n.options.OnNoAnswer)
	err := n.exchange(ctx, target)
	slowAnswer.Stop()
	if err == nil || ctx.Err() != nil {
		return
	}
	n.options.OnNoAnswer()
	if n.pingIndirectly(ctx, target) {
		return
	}
	n.log.Info("member does not answer", "member", target.Name, "zone", target.Zone, "error", err)
	n.Suspect(target.Name)
}

// gossipToPeers exchanges records with gossipFanout random members.
func (n *Node) gossipToPeers(ctx context.Context) {
	n.mutex.Lock()
	targets := n.state.Sample(gossipFanout, "")
	n.mutex.Unlock()
	var group sync.WaitGroup
	for _, target := range targets {
		group.Go(func() {
			if err := n.exchange(ctx, target); err != nil {
				n.log.Debug("gossip not delivered", "member", target.Name, "error", err)
			}
		})
	}
	group.Wait()
}

// pingIndirectly asks other members whether they can reach the target.
func (n *Node) pingIndirectly(ctx context.Context, target membership.Member) bool {
	n.mutex.Lock()
	helpers := n.state.Sample(indirectPingHelpers, target.Name)
	n.mutex.Unlock()
	for _, helper := range helpers {
		reached := false
		err := n.call(ctx, purposeReach, helper.PeerAddress, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
			reply, err := client.Ping(ctx, &peerpb.PingRequest{Name: target.Name, Address: target.PeerAddress})
			reached = err == nil && reply.Reached
			return err
		})
		if err == nil && reached {
			return true
		}
	}
	return false
}

// exchange sends queued updates and records to a member and processes those in its reply.
func (n *Node) exchange(ctx context.Context, target membership.Member) error {
	position := n.options.Configuration.Position()
	n.mutex.Lock()
	fleet := len(n.view.Load().Serving)
	request := &peerpb.ExchangeRequest{
		Sender: encodeMember(n.state.Self()), Revision: uint64(position.Revision), Stored: uint64(position.StoreVersion),
		Directory: uint64(position.Directory), Evacuations: uint64(position.Evacuations), Rollouts: uint64(position.Rollouts),
		Updates: encodeMembers(n.state.Updates()), Drains: encodeDrains(n.drains.nextRecords(fleet)), Digest: n.digest(), CrashingRequests: encodeCrashingRequests(n.crashingRequests.nextRecords(fleet)), Limits: encodeLimits(n.limits.nextRecords(fleet)),
	}
	n.mutex.Unlock()
	return n.call(ctx, purposeExchange, target.PeerAddress, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Exchange(ctx, request)
		if err != nil {
			return err
		}
		n.receive(ctx, reply)
		return nil
	})
}

// exchangeMessage is the request or the reply of an exchange.
type exchangeMessage interface {
	positionMessage
	GetSender() *peerpb.Member
	GetUpdates() []*peerpb.Member
	GetDrains() []*peerpb.Drain
	GetDigest() uint64
	GetCrashingRequests() []*peerpb.CrashingRequest
	GetLimits() []*peerpb.BackendLimit
}

// digest returns a value that differs between daemons that know different members or have
// different quarantined requests. The caller holds the mutex.
func (n *Node) digest() uint64 {
	return n.state.Digest() ^ n.options.Quarantine.Digest()
}

// receive processes the request or the reply of an exchange.
func (n *Node) receive(ctx context.Context, message exchangeMessage) {
	from := decodeMember(message.GetSender())
	position := decodePosition(message)
	receiveRecords(n, &n.crashingRequests, decodeCrashingRequests(message.GetCrashingRequests()))
	receiveRecords(n, &n.limits, decodeLimits(message.GetLimits()))
	receiveRecords(n, &n.drains, decodeDrains(message.GetDrains()))
	syncDue, pending := false, false
	n.updateMembers(from.Name, func(now time.Time) {
		pending = n.isDeliveryPending(now, position)
		n.state.Merge(now, decodeMembers(message.GetUpdates()))
		n.state.ReceivedFrom(now, from)
		n.lastContact.Store(&now)
		syncDue = n.state.SyncDue(now, message.GetDigest()^n.options.Quarantine.Digest())
	})
	if !pending && n.options.Configuration.Position().Behind(position) {
		n.options.Configuration.RecordNewerPeer(from, position)
	}
	if syncDue {
		n.background.start(func() { n.sync(ctx, from) })
	}
}
