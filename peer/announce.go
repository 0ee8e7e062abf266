package peer

import (
	"context"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// purposeAnnounce is what the traffic of announcements is counted as.
const purposeAnnounce = "announce"

// Bounds of announcements.
const (
	// announceParallel is how many members are told at the same time.
	announceParallel = 64
	// passOn is how many members are told by a daemon that heard of a change from
	// another one. Nearly all have been told then; this reaches those whose
	// tellers failed.
	passOn = 2
)

// Announce tells members of the region what is in force here, and hands over what they
// have not got. Of the count daemons that are chosen for the duty of watching the store
// this is one; each member is told by a few of them. It blocks until all have been told
// or were given up on.
func (n *Node) Announce(ctx context.Context, duty string, count int) {
	view := n.View()
	n.announceToAll(ctx, assigned(view.region, view.self, view.holders(duty, count)))
}

// Relay is Announce for news that came from another daemon: a few members are told, in
// random order.
func (n *Node) Relay(ctx context.Context) {
	n.mutex.Lock()
	targets := n.state.Sample(passOn, "")
	n.mutex.Unlock()
	n.announceToAll(ctx, targets)
}

func (n *Node) announceToAll(ctx context.Context, targets []membership.Member) {
	slots := make(chan struct{}, announceParallel)
	var waiting sync.WaitGroup
	for _, target := range targets {
		slots <- struct{}{}
		waiting.Go(func() {
			defer func() { <-slots }()
			if err := n.announceTo(ctx, target); err != nil {
				n.log.Debug("announcement not delivered", "member", target.Name, "error", err)
			}
		})
	}
	waiting.Wait()
}

// announceTo tells one member, over one connection.
func (n *Node) announceTo(ctx context.Context, target membership.Member) error {
	return n.call(ctx, purposeAnnounce, target.PeerAddress, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Announce(ctx, n.position())
		if err != nil {
			return err
		}
		theirs := decodePosition(reply)
		if n.options.Configuration.Position().Behind(theirs) {
			n.options.Configuration.RecordNewerPeer(target, theirs)
		}
		if !theirs.Behind(n.options.Configuration.Position()) {
			return nil
		}
		changes, err := n.changesAfter(theirs)
		if err != nil {
			return err
		}
		_, err = client.Deliver(ctx, &peerpb.Delivery{Name: n.options.Self.Name, Changes: changes})
		return err
	})
}

func (n *Node) position() *peerpb.Position {
	position := n.options.Configuration.Position()
	return &peerpb.Position{
		Address: n.options.Self.PeerAddress, Revision: uint64(position.Revision), Stored: uint64(position.StoreVersion),
		Directory: uint64(position.Directory), Evacuations: uint64(position.Evacuations), Rollouts: uint64(position.Rollouts),
	}
}

// positioned is a message that tells what is in force at its sender.
type positioned interface {
	GetRevision() uint64
	GetStored() uint64
	GetDirectory() uint64
	GetEvacuations() uint64
	GetRollouts() uint64
}

func decodePosition(encoded positioned) config.Position {
	return config.Position{
		Revision: config.Revision(encoded.GetRevision()), StoreVersion: objectstore.Version(encoded.GetStored()),
		Directory: objectstore.Version(encoded.GetDirectory()), Evacuations: objectstore.Version(encoded.GetEvacuations()),
		Rollouts: objectstore.Version(encoded.GetRollouts()),
	}
}

// deliveryGrace is how long a daemon that was told of news waits for it to be handed
// over, before it asks for it.
const deliveryGrace = 400 * time.Millisecond

// delivery is what another daemon has said that it hands over.
type delivery struct {
	position config.Position
	until    time.Time // after which it is not waited for any longer
}

// expect notes that a daemon is going to hand over what it has, and says whether that
// is worth having: whether no other one is handing over as much.
func (n *Node) expect(now time.Time, offered config.Position) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.expects(now, offered) {
		return false
	}
	if n.options.Configuration.Position().Behind(offered) {
		n.expected = delivery{position: offered, until: now.Add(deliveryGrace)}
	}
	return true
}

// expects says whether as much as a position is being handed over. The caller holds
// the mutex.
func (n *Node) expects(now time.Time, position config.Position) bool {
	return now.Before(n.expected.until) && !n.expected.position.Behind(position) && n.options.Configuration.Position().Behind(position)
}

// Announce implements peerpb.DRPCPeerServer.
func (s *server) Announce(_ context.Context, told *peerpb.Position) (*peerpb.Position, error) {
	n := s.node
	if n.options.Configuration.Reading() {
		return told, nil // as if it had all: it is about to
	}
	theirs := decodePosition(told)
	if !n.expect(time.Now(), theirs) {
		return told, nil // another daemon hands it over just now
	}
	if n.options.Configuration.Position().Behind(theirs) {
		// The sender hands it over; should it fail to, it is asked.
		time.AfterFunc(deliveryGrace, func() {
			if n.options.Configuration.Position().Behind(theirs) {
				n.options.Configuration.RecordNewerPeer(membership.Member{Name: told.Address, PeerAddress: told.Address}, theirs)
			}
		})
	}
	return n.position(), nil
}

// Deliver implements peerpb.DRPCPeerServer.
func (s *server) Deliver(_ context.Context, delivery *peerpb.Delivery) (*peerpb.Position, error) {
	n := s.node
	document, err := follow(n.options.Configuration.Document(), delivery.GetChanges())
	if err != nil {
		return nil, err
	}
	if err := n.options.Configuration.Offer(document, delivery.Name); err != nil {
		return nil, err
	}
	return n.position(), nil
}
