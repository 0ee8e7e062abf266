package peer

import (
	"context"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// period is one heartbeat.
func (n *Node) period(ctx context.Context) {
	var target membership.Member
	var found bool
	n.change(byTime, func(now time.Time) {
		n.state.Tick(now)
		target, found = n.state.NextPeer()
	})
	if !found {
		n.join(ctx, firstSeeds, 0)
		return
	}
	go n.exchangeOrSuspect(ctx, target)
}

// soonAnswered is within what time members answer heartbeats, unless something is wrong
// with them or the way to them.
const soonAnswered = 250 * time.Millisecond

func (n *Node) exchangeOrSuspect(ctx context.Context, target membership.Member) {
	doubt := time.AfterFunc(soonAnswered, n.options.OnNoAnswer)
	err := n.exchange(ctx, target)
	doubt.Stop()
	if err == nil || ctx.Err() != nil {
		return
	}
	n.options.OnNoAnswer()
	if n.reachedByOthers(ctx, target) {
		return
	}
	n.log.Info("member does not answer", "member", target.Name, "zone", target.Zone, "error", err)
	n.Suspect(target.Name)
}

// tellSome exchanges news with fanout members at once.
func (n *Node) tellSome(ctx context.Context) {
	n.mutex.Lock()
	targets := n.state.Sample(fanout, "")
	n.mutex.Unlock()
	var waiting sync.WaitGroup
	for _, target := range targets {
		waiting.Go(func() {
			if err := n.exchange(ctx, target); err != nil {
				n.log.Debug("news not delivered", "member", target.Name, "error", err)
			}
		})
	}
	waiting.Wait()
}

// reachedByOthers asks other members whether they reach the target.
func (n *Node) reachedByOthers(ctx context.Context, target membership.Member) bool {
	n.mutex.Lock()
	helpers := n.state.Sample(relays, target.Name)
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

// exchange tells a member what is new and takes in what it tells.
func (n *Node) exchange(ctx context.Context, target membership.Member) error {
	position := n.options.Configuration.Position()
	n.mutex.Lock()
	fleet := len(n.view.Load().Serving)
	request := &peerpb.ExchangeRequest{
		Sender: encodeMember(n.state.Self()), Revision: uint64(position.Revision), Stored: uint64(position.StoreVersion),
		Directory: uint64(position.Directory), Evacuations: uint64(position.Evacuations), Rollouts: uint64(position.Rollouts),
		Updates: encodeMembers(n.state.Updates()), Drains: encodeDrains(n.drains.next(fleet)), Digest: n.digest(), CrashingRequests: encodeCrashingRequests(n.crashingRequests.next(fleet)), Limits: encodeLimits(n.limits.next(fleet)),
	}
	n.mutex.Unlock()
	return n.call(ctx, purposeExchange, target.PeerAddress, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Exchange(ctx, request)
		if err != nil {
			return err
		}
		n.take(ctx, reply)
		return nil
	})
}

// told is what either side of an exchange tells.
type told interface {
	positioned
	GetSender() *peerpb.Member
	GetUpdates() []*peerpb.Member
	GetDrains() []*peerpb.Drain
	GetDigest() uint64
	GetCrashingRequests() []*peerpb.CrashingRequest
	GetLimits() []*peerpb.BackendLimit
}

// digest tells daemons apart that know other members, or hold back other requests. The caller
// holds the mutex.
func (n *Node) digest() uint64 {
	return n.state.Digest() ^ n.options.Quarantine.Digest()
}

// take takes in one side of an exchange.
func (n *Node) take(ctx context.Context, message told) {
	from := decodeMember(message.GetSender())
	theirs := decodePosition(message)
	hear(n, &n.crashingRequests, decodeCrashingRequests(message.GetCrashingRequests()))
	hear(n, &n.limits, decodeLimits(message.GetLimits()))
	hear(n, &n.drains, decodeDrains(message.GetDrains()))
	sync, expected := false, false
	n.change(from.Name, func(now time.Time) {
		expected = n.expects(now, theirs)
		n.state.Merge(now, decodeMembers(message.GetUpdates()))
		n.state.ReceivedFrom(now, from)
		n.heard.Store(&now)
		sync = n.state.SyncDue(now, message.GetDigest()^n.options.Quarantine.Digest())
	})
	if !expected && n.options.Configuration.Position().Behind(theirs) {
		n.options.Configuration.RecordNewerPeer(from, theirs)
	}
	if sync {
		n.syncs.Go(func() { n.sync(ctx, from) })
	}
}
