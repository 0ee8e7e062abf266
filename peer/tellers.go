package peer

import (
	"context"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// tellers is how many of the daemons that hear of a change from the store tell each
// member of their region.
const tellers = 2

// tellerTimeout bounds the question whether a teller is there. It is short, as others
// are asked at the same time and a wrong no costs a few calls to the store.
const tellerTimeout = 250 * time.Millisecond

// HasAnnouncer says whether any of the members that should tell this one of a change,
// of the count that are chosen for the duty of watching the store, answers that it would.
// It blocks until one has, or all were given up on.
func (n *Node) HasAnnouncer(ctx context.Context, duty string, count int) bool {
	view := n.View()
	ctx, cancel := context.WithTimeout(ctx, tellerTimeout)
	defer cancel()
	asked := tellersOf(view.self, view.holders(duty, count))
	answers := make(chan bool, len(asked))
	for _, teller := range asked {
		go func() { answers <- n.toldBy(ctx, teller, duty, count) }()
	}
	for range asked {
		select {
		case told := <-answers:
			if told {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// toldBy says whether a member answers that it would tell this one of news.
func (n *Node) toldBy(ctx context.Context, member membership.Member, duty string, count int) bool {
	told := false
	request := &peerpb.TellsRequest{Name: n.options.Self.Name, Duty: duty, Count: int64(count)}
	err := n.call(ctx, purposeTells, member.PeerAddress, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Tells(ctx, request)
		told = reply.GetTells()
		return err
	})
	return err == nil && told
}

// tellersOf returns those of the daemons that watch the store that tell a member of
// news, itself left out. They do not depend on the other members, of which two daemons may
// know different ones for a moment.
func tellersOf(name string, watchers []membership.Member) []membership.Member {
	others := slices.DeleteFunc(slices.Clone(watchers), func(one membership.Member) bool { return one.Name == name })
	return membership.Choose(others, "tell/"+name, tellers)
}

// tells says whether a daemon, as one of those that watch the store, tells a member.
func tells(self, name string, watchers []membership.Member) bool {
	return slices.ContainsFunc(tellersOf(name, watchers), func(one membership.Member) bool { return one.Name == self })
}

// assigned returns the members that a daemon tells.
func assigned(members []membership.Member, self string, watchers []membership.Member) []membership.Member {
	var targets []membership.Member
	for _, member := range members {
		if member.Name != self && tells(self, member.Name, watchers) {
			targets = append(targets, member)
		}
	}
	return targets
}

// Tells implements peerpb.DRPCPeerServer.
func (s *server) Tells(_ context.Context, request *peerpb.TellsRequest) (*peerpb.TellsReply, error) {
	n := s.node
	view := n.View()
	told := tells(view.self, request.Name, view.holders(request.Duty, int(request.Count)))
	return &peerpb.TellsReply{Tells: told && n.options.Configuration.Watching()}, nil
}
