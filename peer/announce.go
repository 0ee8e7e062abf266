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

// purposeAnnounce is the purpose under which the traffic of announcements is counted.
const purposeAnnounce = "announce"

// Bounds of announcements.
const (
	// maxParallelAnnouncements is how many members are notified in parallel.
	maxParallelAnnouncements = 64
	// relayFanout is how many members a daemon notifies that learned of a change from another
	// daemon. Nearly all members know the change by then; this reaches those whose announcers
	// failed.
	relayFanout = 2
)

// Announce announces the current position to members of the region and delivers what they lack.
// This daemon is one of the count selected for a key to watch the store; each member is assigned
// to a few of them. It blocks until all assigned members were notified or their calls failed.
func (n *Node) Announce(ctx context.Context, key string, count int) {
	view := n.View()
	n.announceToAll(ctx, announceTargets(view.region, view.self, view.chosenMembers(key, count)))
}

// Relay announces a change received from another daemon to a few random members.
func (n *Node) Relay(ctx context.Context) {
	n.mutex.Lock()
	targets := n.state.Sample(relayFanout, "")
	n.mutex.Unlock()
	n.announceToAll(ctx, targets)
}

func (n *Node) announceToAll(ctx context.Context, targets []membership.Member) {
	semaphore := make(chan struct{}, maxParallelAnnouncements)
	var group sync.WaitGroup
	for _, target := range targets {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			if err := n.announceTo(ctx, target); err != nil {
				n.log.Debug("announcement not delivered", "member", target.Name, "error", err)
			}
		})
	}
	group.Wait()
}

// announceTo announces the current position to one member and delivers what it lacks, over one
// connection.
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

// positionMessage is a message with the position of its sender.
type positionMessage interface {
	GetRevision() uint64
	GetStored() uint64
	GetDirectory() uint64
	GetEvacuations() uint64
	GetRollouts() uint64
}

func decodePosition(encoded positionMessage) config.Position {
	return config.Position{
		Revision: config.Revision(encoded.GetRevision()), StoreVersion: objectstore.Version(encoded.GetStored()),
		Directory: objectstore.Version(encoded.GetDirectory()), Evacuations: objectstore.Version(encoded.GetEvacuations()),
		Rollouts: objectstore.Version(encoded.GetRollouts()),
	}
}

// deliveryTimeout is how long a daemon that was notified of a change waits for its delivery before
// it requests the change itself.
const deliveryTimeout = 400 * time.Millisecond

// pendingDelivery is a position that another daemon has announced and is about to deliver.
type pendingDelivery struct {
	position config.Position
	until    time.Time // the delivery is considered failed afterwards
}

// expectDelivery records that a daemon is about to deliver the offered position. It returns false,
// and records nothing, if another daemon is already delivering at least as much.
func (n *Node) expectDelivery(now time.Time, offered config.Position) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isDeliveryPending(now, offered) {
		return false
	}
	if n.options.Configuration.Position().Behind(offered) {
		n.pending = pendingDelivery{position: offered, until: now.Add(deliveryTimeout)}
	}
	return true
}

// isDeliveryPending reports whether a delivery of at least the given position is pending and still
// needed. The caller holds the mutex.
func (n *Node) isDeliveryPending(now time.Time, position config.Position) bool {
	return now.Before(n.pending.until) && !n.pending.position.Behind(position) && n.options.Configuration.Position().Behind(position)
}

// Announce implements peerpb.DRPCPeerServer.
func (s *server) Announce(_ context.Context, announced *peerpb.Position) (*peerpb.Position, error) {
	n := s.node
	if n.options.Configuration.Reading() {
		return announced, nil // claims to be up to date, as the initial read is in progress
	}
	theirs := decodePosition(announced)
	if !n.expectDelivery(time.Now(), theirs) {
		return announced, nil // claims to be up to date, as another daemon is delivering it
	}
	if n.options.Configuration.Position().Behind(theirs) {
		// The sender delivers the change. If it fails to, the change is fetched.
		time.AfterFunc(deliveryTimeout, func() {
			if n.options.Configuration.Position().Behind(theirs) {
				n.options.Configuration.RecordNewerPeer(membership.Member{Name: announced.Address, PeerAddress: announced.Address}, theirs)
			}
		})
	}
	return n.position(), nil
}

// Deliver implements peerpb.DRPCPeerServer.
func (s *server) Deliver(_ context.Context, delivery *peerpb.Delivery) (*peerpb.Position, error) {
	n := s.node
	document, err := applyReply(n.options.Configuration.Document(), delivery.GetChanges())
	if err != nil {
		return nil, err
	}
	if err := n.options.Configuration.Offer(document, delivery.Name); err != nil {
		return nil, err
	}
	return n.position(), nil
}
