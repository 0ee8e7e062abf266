package peer

import (
	"context"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// announcersPerMember is how many of the daemons that watch the store announce changes to each
// member of their region.
const announcersPerMember = 2

// announcerTimeout bounds the query whether an announcer is reachable. It is short, as all are
// queried in parallel and a false negative costs only a few calls to the store.
const announcerTimeout = 250 * time.Millisecond

// HasAnnouncer reports whether any of the members that should announce changes to this daemon, out
// of the count selected for a key to watch the store, answers that it would. It blocks until one
// has, or all failed or timed out.
func (n *Node) HasAnnouncer(ctx context.Context, key string, count int) bool {
	view := n.View()
	ctx, cancel := context.WithTimeout(ctx, announcerTimeout)
	defer cancel()
	announcers := announcersOf(view.self, view.chosenMembers(key, count))
	answers := make(chan bool, len(announcers))
	for _, announcer := range announcers {
		go func() { answers <- n.isAnnouncedBy(ctx, announcer, key, count) }()
	}
	for range announcers {
		select {
		case announces := <-answers:
			if announces {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// isAnnouncedBy reports whether a member answers that it would announce changes to this daemon.
func (n *Node) isAnnouncedBy(ctx context.Context, member membership.Member, key string, count int) bool {
	announces := false
	request := &peerpb.TellsRequest{Name: n.options.Self.Name, Duty: key, Count: int64(count)}
	err := n.call(ctx, purposeTells, member.PeerAddress, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Tells(ctx, request)
		announces = reply.GetTells()
		return err
	})
	return err == nil && announces
}

// announcersOf returns those of the watchers, without the member itself, that announce changes to
// a member. They do not depend on the other members, about which two daemons may temporarily
// disagree.
func announcersOf(name string, watchers []membership.Member) []membership.Member {
	others := slices.DeleteFunc(slices.Clone(watchers), func(watcher membership.Member) bool { return watcher.Name == name })
	return membership.Choose(others, "tell/"+name, announcersPerMember)
}

// isAnnouncer reports whether a daemon, as one of the watchers, announces changes to a member.
func isAnnouncer(self, name string, watchers []membership.Member) bool {
	return slices.ContainsFunc(announcersOf(name, watchers), func(announcer membership.Member) bool { return announcer.Name == self })
}

// announceTargets returns the members to which a daemon announces changes.
func announceTargets(members []membership.Member, self string, watchers []membership.Member) []membership.Member {
	var targets []membership.Member
	for _, member := range members {
		if member.Name != self && isAnnouncer(self, member.Name, watchers) {
			targets = append(targets, member)
		}
	}
	return targets
}

// Tells implements peerpb.DRPCPeerServer.
func (s *server) Tells(_ context.Context, request *peerpb.TellsRequest) (*peerpb.TellsReply, error) {
	n := s.node
	view := n.View()
	chosen := isAnnouncer(view.self, request.Name, view.chosenMembers(request.Duty, int(request.Count)))
	return &peerpb.TellsReply{Tells: chosen && n.options.Configuration.Watching()}, nil
}
