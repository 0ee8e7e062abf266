package peer

import (
	"context"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/wait"
)

// join asks seeds for the members, so many at once, until one has answered or limit has
// passed. Seeds may be gone. A daemon that starts together with its seeds, as after a
// loss of all power, may ask before they listen, and a connection that is being opened
// then is not opened for a second: therefore seeds are asked anew all the time.
func (n *Node) join(ctx context.Context, atOnce int, limit time.Duration) {
	seeds := n.shuffledSeeds(ctx)
	for begun := time.Now(); len(seeds) > 0 && ctx.Err() == nil && time.Since(begun) <= limit; {
		asked := seeds[:min(atOnce, len(seeds))]
		if n.askSeeds(ctx, asked) {
			return
		}
		seeds = slices.Concat(seeds[len(asked):], asked)
	}
}

// askSeeds asks seeds at once, and says whether one has answered within joinPatience.
// What comes later is taken in as well.
func (n *Node) askSeeds(ctx context.Context, seeds []string) bool {
	answers := make(chan error, len(seeds))
	for _, address := range seeds {
		n.syncs.Go(func() { answers <- n.askSeed(ctx, address) })
	}
	patience := time.NewTimer(joinPatience)
	defer patience.Stop()
	for range seeds {
		select {
		case <-ctx.Done():
			return false
		case <-patience.C:
			return false
		case err := <-answers:
			if err == nil {
				return true
			}
			n.log.Debug("seed did not answer", "error", err)
		}
	}
	// All have refused at once: they do not listen yet.
	wait.Sleep(ctx, joinPause)
	return false
}

// shuffledSeeds returns the seeds but this daemon itself, in random order.
func (n *Node) shuffledSeeds(ctx context.Context) []string {
	own := n.options.Self.PeerAddress
	seeds := n.options.Seeds(ctx)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.forming.told(slices.Clone(seeds), own)
	seeds = slices.DeleteFunc(seeds, func(address string) bool { return address == own })
	n.options.Random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// askSeed asks a seed for the members, and notes whether it has just started, too.
func (n *Node) askSeed(ctx context.Context, address string) error {
	itsForming, err := n.askMembers(ctx, address)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.forming.heard(itsForming)
	n.refreshView()
	return nil
}

// askMembers asks a daemon for the members and takes them in. It says whether that one
// has just started.
func (n *Node) askMembers(ctx context.Context, address string) (itsForming bool, err error) {
	err = n.call(ctx, purposeMembers, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Members(ctx, &peerpb.MembersRequest{Sender: encodeMember(n.self())})
		if err != nil {
			return err
		}
		list, err := decodeList(reply)
		if err != nil {
			return err
		}
		itsForming = reply.GetForming()
		n.change(address, func(now time.Time) {
			n.state.MergeList(now, decodeMembers(list.Members))
		})
		hear(n, &n.crashingRequests, decodeCrashingRequests(list.CrashingRequests))
		hear(n, &n.limits, decodeLimits(list.Limits))
		hear(n, &n.drains, decodeDrains(list.Drains))
		return nil
	})
	return itsForming, err
}

// sync asks a daemon that knows other members for its whole list.
func (n *Node) sync(ctx context.Context, from membership.Member) {
	if _, err := n.askMembers(context.WithoutCancel(ctx), from.PeerAddress); err != nil {
		n.log.Debug("members not synced", "member", from.Name, "error", err)
	}
}
