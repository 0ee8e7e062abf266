package peer

import (
	"context"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// join asks seeds for the members, until one has answered. Further seeds are asked
// while the first ones are silent: seeds may be gone. What comes later is taken in
// as well.
func (n *Node) join(ctx context.Context) {
	seeds := n.shuffledSeeds(ctx)
	answers := make(chan error, len(seeds))
	asked, pending := 0, 0
	askNext := func() {
		if asked == len(seeds) {
			return
		}
		address := seeds[asked]
		asked++
		pending++
		n.syncs.Go(func() { answers <- n.askMembers(ctx, address) })
	}
	for range joinSeeds {
		askNext()
	}
	patience := time.NewTicker(joinPatience)
	defer patience.Stop()
	for pending > 0 {
		select {
		case <-ctx.Done():
			return
		case <-patience.C:
			askNext()
		case err := <-answers:
			if err == nil {
				return
			}
			n.log.Debug("seed did not answer", "error", err)
			pending--
			askNext()
		}
	}
}

// shuffledSeeds returns the seeds but this daemon itself, in random order.
func (n *Node) shuffledSeeds(ctx context.Context) []string {
	seeds := slices.DeleteFunc(n.options.Seeds(ctx), func(address string) bool { return address == n.options.Self.PeerAddress })
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.options.Random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

func (n *Node) askMembers(ctx context.Context, address string) error {
	return n.call(ctx, purposeMembers, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Members(ctx, &peerpb.MembersRequest{Sender: encodeMember(n.self())})
		if err != nil {
			return err
		}
		members, drains, err := decodeList(reply)
		if err != nil {
			return err
		}
		var news []Drain
		n.change(address, func(now time.Time) {
			n.state.MergeList(now, members)
			news = n.drains.take(drains)
		})
		for _, drain := range news {
			n.options.OnDrain(drain)
		}
		return nil
	})
}

// sync asks a daemon that knows other members for its whole list.
func (n *Node) sync(ctx context.Context, from membership.Member) {
	if err := n.askMembers(context.WithoutCancel(ctx), from.PeerAddress); err != nil {
		n.log.Debug("members not synced", "member", from.Name, "error", err)
	}
}
