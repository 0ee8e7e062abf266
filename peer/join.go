package peer

import (
	"context"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/wait"
)

// join queries the seeds for the members, several in parallel, until one has answered or the
// timeout has passed. Seeds may no longer exist. A daemon that starts together with its seeds, as
// after a complete power failure, may query them before they listen, and a connection attempt made
// then can take a second to succeed, so the seeds are queried again continuously.
func (n *Node) join(ctx context.Context, parallel int, timeout time.Duration) {
	seeds := n.shuffledSeeds(ctx)
	for started := time.Now(); len(seeds) > 0 && ctx.Err() == nil && time.Since(started) <= timeout; {
		queried := seeds[:min(parallel, len(seeds))]
		if n.querySeeds(ctx, queried) {
			return
		}
		seeds = slices.Concat(seeds[len(queried):], queried)
	}
}

// querySeeds queries seeds in parallel and reports whether one has answered within
// seedAnswerTimeout. Later answers are processed as well.
func (n *Node) querySeeds(ctx context.Context, seeds []string) bool {
	answers := make(chan error, len(seeds))
	for _, address := range seeds {
		n.background.start(func() { answers <- n.querySeed(ctx, address) })
	}
	timeout := time.NewTimer(seedAnswerTimeout)
	defer timeout.Stop()
	for range seeds {
		select {
		case <-ctx.Done():
			return false
		case <-timeout.C:
			return false
		case err := <-answers:
			if err == nil {
				return true
			}
			n.log.Debug("seed did not answer", "error", err)
		}
	}
	// All seeds failed immediately: they do not listen yet.
	wait.Sleep(ctx, refusedSeedDelay)
	return false
}

// shuffledSeeds returns the seeds without this daemon, in random order.
func (n *Node) shuffledSeeds(ctx context.Context) []string {
	own := n.options.Self.PeerAddress
	seeds := n.options.Seeds(ctx)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.forming.setSeeds(slices.Clone(seeds), own)
	seeds = slices.DeleteFunc(seeds, func(address string) bool { return address == own })
	n.options.Random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// querySeed queries a seed for the members and records whether it has itself just started.
func (n *Node) querySeed(ctx context.Context, address string) error {
	starting, err := n.fetchMembers(ctx, address)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.forming.recordSeedAnswer(starting)
	n.refreshView()
	return nil
}

// fetchMembers requests the member list of a daemon and merges it. It reports whether that daemon
// has just started.
func (n *Node) fetchMembers(ctx context.Context, address string) (starting bool, err error) {
	err = n.call(ctx, purposeMembers, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Members(ctx, &peerpb.MembersRequest{Sender: encodeMember(n.self())})
		if err != nil {
			return err
		}
		list, err := decodeList(reply)
		if err != nil {
			return err
		}
		starting = reply.GetForming()
		n.updateMembers(address, func(now time.Time) {
			n.state.MergeList(now, decodeMembers(list.Members))
		})
		receiveRecords(n, &n.crashingRequests, decodeCrashingRequests(list.CrashingRequests))
		receiveRecords(n, &n.limits, decodeLimits(list.Limits))
		receiveRecords(n, &n.drains, decodeDrains(list.Drains))
		return nil
	})
	return starting, err
}

// sync fetches the whole member list of a daemon whose digest differs.
func (n *Node) sync(ctx context.Context, from membership.Member) {
	if _, err := n.fetchMembers(context.WithoutCancel(ctx), from.PeerAddress); err != nil {
		n.log.Debug("members not synced", "member", from.Name, "error", err)
	}
}
