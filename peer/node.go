// Package peer implements the messages between daemons: heartbeats with member updates and gossip
// about back ends, and configuration changes. The messages are protobuf over drpc; packages
// membership and peer decide what is sent, by whom and when.
//
// Each exchange opens a connection and closes it again. In a large fleet a daemon exchanges with a
// different peer nearly every time, so persistent connections would be idle most of the time.
package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/wait"
)

// Timing and bounds.
const (
	// callTimeout bounds one call to another daemon.
	callTimeout = 700 * time.Millisecond
	// indirectPingHelpers is how many other members are asked to reach a member that did not
	// answer.
	indirectPingHelpers = 2
	// gossipFanout is how many members a new record is sent to at once, besides the dispatcher;
	// each of them does the same.
	gossipFanout = 1
	// minGossipInterval is the minimum time between two rounds of gossip, so that records received
	// in quick succession are sent together.
	minGossipInterval = 100 * time.Millisecond
	// initialPeriod is the time between the first heartbeats of a daemon. It doubles after every
	// few heartbeats, up to the full period. Daemons that start together thus soon know each other
	// and choose the same dispatchers.
	initialPeriod         = 100 * time.Millisecond
	heartbeatsPerDoubling = 4
	periodDoublings       = 4
	// initialSeedQueries and laterSeedQueries are how many seeds a daemon queries in parallel at
	// its start and later.
	initialSeedQueries = 3
	laterSeedQueries   = 1
	// rejoinInterval is the time between further queries of a seed, and rejoinCount their number:
	// if all daemons started together, the seeds knew few members at first.
	rejoinInterval = 350 * time.Millisecond
	rejoinCount    = 2
	// seedAnswerTimeout is after how long without an answer the next seeds are queried, and
	// refusedSeedDelay after how long if all queried seeds failed immediately.
	seedAnswerTimeout = 150 * time.Millisecond
	refusedSeedDelay  = 50 * time.Millisecond
	// initialJoinTimeout bounds how long a starting daemon queries seeds before it does anything
	// else.
	initialJoinTimeout = 2 * time.Second
	// periodJitter is the maximum fraction of the period by which a heartbeat is randomly shifted.
	periodJitter = 0.2
)

// Configuration is the Node's access to the configuration of the daemon.
type Configuration interface {
	// Position returns the revisions in force, 0 if there are none.
	Position() config.Position
	// Document returns the document in force.
	Document() config.Document
	// Watching reports whether the daemon watches the store.
	Watching() bool
	// Reading reports whether the daemon has just started and reads the store itself.
	Reading() bool
	// RecordRenewal notes that the store has answered another daemon's watch of a source. It must
	// not block.
	RecordRenewal(source string)
	// RecordNewerPeer notes that a member has a higher position. It must not block.
	RecordNewerPeer(member membership.Member, position config.Position)
	// Offer applies the parts of a document that are newer than the current ones. source is the
	// name of the daemon that sent it.
	Offer(document config.Document, source string) error
}

// Options configures a Node.
type Options struct {
	Self          membership.Member
	Meter         *network.Meter // opens connections to other daemons
	Random        *rand.Rand
	Log           *slog.Logger
	Configuration Configuration
	// Slots serves permit requests of other daemons; nil: not served.
	Slots peerpb.DRPCSlotsServer
	// Seeds returns peer addresses of daemons that may be alive. It may block.
	Seeds func(ctx context.Context) []string
	// OnNoAnswer, if set, is called when a member has not answered promptly, before others are
	// asked whether they can reach it. It must not block.
	OnNoAnswer func()
	// Drains keeps the records of draining back ends; nil: none.
	Drains Drains
	// Quarantine keeps the records of requests that crash back ends; nil: none.
	Quarantine Quarantine
	// Limits keeps the records of request limits of back ends; nil: none.
	Limits Limits
	// Connections bounds the open connections of other daemons; nil: there is no bound.
	Connections *overload.Pool
}

// Node is this daemon's end of the communication with its peers. It is safe for concurrent use.
type Node struct {
	options        Options
	log            *slog.Logger
	gossipRequests chan struct{} // buffers one request for a round of gossip

	encodings  encodingCache
	background background
	heartbeats int // sent so far; used by Run only

	mutex sync.Mutex
	state *membership.State
	// drains, crashingRequests and limits are the records still to be sent to peers.
	drains           gossip[drain.SignalKey, drain.Record]
	crashingRequests gossip[quarantine.Fingerprint, quarantine.Record]
	limits           gossip[backend.Key, backendlimit.Record]
	// forming is the state of cluster formation.
	forming forming
	// pending is the configuration that another daemon is about to deliver.
	pending pendingDelivery

	// lastContact is when any other daemon was last heard from.
	lastContact atomic.Pointer[time.Time]

	view            atomic.Pointer[View]
	lastDispatchers sync.Map // service name to the name of its last known dispatcher
}

// NewNode returns a node that knows no other member.
func NewNode(options Options) *Node {
	if options.OnNoAnswer == nil {
		options.OnNoAnswer = func() {}
	}
	if options.Quarantine == nil {
		options.Quarantine = noQuarantine{}
	}
	if options.Drains == nil {
		options.Drains = noRecords[drain.SignalKey, drain.Record]{}
	}
	if options.Limits == nil {
		options.Limits = noRecords[backend.Key, backendlimit.Record]{}
	}
	if options.Connections == nil {
		options.Connections = overload.NewGuard(overload.Limits{}, tally.NoopScope).NewPool("", 0)
	}
	n := &Node{
		options: options, log: logging.Component(options.Log, "membership"), gossipRequests: make(chan struct{}, 1),
		state: membership.NewState(options.Self, options.Random), drains: newGossip(options.Drains, drainKey, maxDrainsPerMessage, maxQueuedDrains),
		crashingRequests: newGossip(options.Quarantine, quarantineKey, maxCrashingRequestsPerMessage, maxQueuedCrashingRequests),
		limits:           newGossip(options.Limits, limitKey, maxLimitsPerMessage, maxQueuedLimits),
	}
	n.forming.started = time.Now()
	n.lastContact.Store(&n.forming.started)
	n.refreshView()
	return n
}

// updateMembers applies a change of the members under the mutex, refreshes the view and logs the
// transitions. source is who reported the change.
func (n *Node) updateMembers(source string, apply func(now time.Time)) {
	n.mutex.Lock()
	before := n.state.Version()
	apply(time.Now())
	if n.state.Version() != before {
		n.refreshView()
	}
	changed := n.state.TakeTransitions()
	n.mutex.Unlock()
	n.logTransitions(changed, source)
}

// Members returns all known members, including this daemon.
func (n *Node) Members() []membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append(n.state.Members(), n.state.Self())
}

// Suspect records that a member could not be reached.
func (n *Node) Suspect(name string) {
	n.options.OnNoAnswer()
	n.updateMembers(sourceNoAnswer, func(now time.Time) { n.state.MarkUnreachable(now, name) })
}

// requestGossip schedules a round of gossip, as there are new records.
func (n *Node) requestGossip() {
	select {
	case n.gossipRequests <- struct{}{}:
	default: // a round is already pending
	}
}

// notifyDispatcher sends queued records to the dispatcher of a service at once, and to a few other
// members soon. It does not block.
func (n *Node) notifyDispatcher(service string) {
	if dispatcher, other := n.DispatcherOf(service); other {
		n.background.start(func() {
			if err := n.exchange(context.Background(), dispatcher); err != nil {
				n.log.Debug("gossip not delivered", "member", dispatcher.Name, "error", err)
			}
		})
	}
	n.requestGossip()
}

// Run joins the other daemons and exchanges state with them until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer n.background.end()
	n.join(ctx, initialSeedQueries, initialJoinTimeout)
	seedDispatchEnd := time.NewTimer(seedDispatchDuration)
	defer seedDispatchEnd.Stop()
	timer := time.NewTimer(n.nextPeriod())
	defer timer.Stop()
	rejoin := time.NewTicker(rejoinInterval)
	defer rejoin.Stop()
	rejoins := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.gossipRequests:
			n.gossipToPeers(ctx)
			wait.Sleep(ctx, minGossipInterval)
		case <-seedDispatchEnd.C:
			n.refreshDispatchers()
		case <-rejoin.C:
			n.join(ctx, laterSeedQueries, 0)
			if rejoins++; rejoins == rejoinCount {
				rejoin.Stop()
			}
		case <-timer.C:
			n.heartbeat(ctx)
			n.heartbeats++
			timer.Reset(n.nextPeriod())
		}
	}
}

func (n *Node) nextPeriod() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	shift := (n.options.Random.Float64()*2 - 1) * periodJitter
	period := membership.Period
	if doublings := n.heartbeats / heartbeatsPerDoubling; doublings < periodDoublings {
		period = min(period, initialPeriod<<doublings)
	}
	return time.Duration((1 + shift) * float64(period))
}

func (n *Node) self() membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.state.Self()
}

// Leave notifies a few members that this daemon leaves.
func (n *Node) Leave(ctx context.Context) {
	n.updateMembers(sourceSelf, func(time.Time) { n.state.Leave() })
	n.gossipToPeers(ctx)
}
