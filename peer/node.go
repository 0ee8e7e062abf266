// Package peer carries the messages between daemons: heartbeats with news of
// members and drains, and configuration changes. The messages are protobuf over
// drpc; what is in them and who sends them when is decided by package
// membership and by this package's Node.
//
// Every exchange opens a connection and closes it again. At the size of the
// whole fleet a daemon meets a different partner nearly every time, so that kept
// connections would mostly idle.
package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/wait"
)

// Timing and bounds.
const (
	// callTimeout bounds one call to another daemon.
	callTimeout = 700 * time.Millisecond
	// relays is how many others are asked to reach a member that did not answer.
	relays = 2
	// fanout is how many members are told at once of a drain, besides the daemon that
	// gives out the places; each of them does the same.
	fanout = 1
	// spreadInterval is the least time between two tellings: drains that are heard
	// in quick succession are told together.
	spreadInterval = 100 * time.Millisecond
	// firstPeriod is the time between the first heartbeats of a daemon. It doubles
	// after every few, up to the full period. Daemons that start together thus soon
	// know each other, and choose the same dispatchers.
	firstPeriod      = 100 * time.Millisecond
	beatsPerDoubling = 4
	periodDoublings  = 4
	// firstSeeds and laterSeeds are how many seeds a daemon asks for the members at
	// once, when it starts and later.
	firstSeeds = 3
	laterSeeds = 1
	// joinAgain is the time between further questions to a seed, of which there are
	// joinRepeats: had all daemons started together, the seeds knew few at first.
	joinAgain   = 350 * time.Millisecond
	joinRepeats = 2
	// joinPatience is after how long without an answer seeds are asked anew, and
	// joinPause is when they are after they have refused.
	joinPatience = 150 * time.Millisecond
	joinPause    = 50 * time.Millisecond
	// firstJoin is for how long a daemon that starts asks seeds before all else.
	firstJoin = 2 * time.Second
	// jitter is the share of the period by which each exchange is shifted.
	jitter = 0.2
)

// Configuration is what a Node tells and asks about the configuration.
type Configuration interface {
	// Position returns the revisions in force, 0 where there is none.
	Position() config.Position
	// Document returns the document in force.
	Document() config.Document
	// Watching says whether the daemon watches the store.
	Watching() bool
	// Reading says whether the daemon has just started and reads the store itself.
	Reading() bool
	// RecordNewerPeer notes that a member has a higher position. It must not block.
	RecordNewerPeer(member membership.Member, position config.Position)
	// Offer puts what is newer in a document than in the present one in force.
	// source names the daemon it came from.
	Offer(document config.Document, source string) error
}

// Options are a Node's collaborators.
type Options struct {
	Self          membership.Member
	Meter         *network.Meter // opens connections to other daemons
	Random        *rand.Rand
	Log           *slog.Logger
	Configuration Configuration
	// Slots answers daemons that ask for places; nil: none are given.
	Slots peerpb.DRPCSlotsServer
	// Seeds returns peer addresses of daemons that may be alive. It may block.
	Seeds func(ctx context.Context) []string
	// OnNoAnswer is told when a member has not answered soon, before others are asked
	// whether they reach it; nil: nobody is. It must not block.
	OnNoAnswer func()
	// Drains knows which back ends are leaving; nil: none is.
	Drains Drains
	// Quarantine has noted under which requests back ends ended; nil: nothing is noted.
	Quarantine Quarantine
	// Limits knows how many requests back ends take; nil: any number.
	Limits Limits
}

// Node is one daemon among its peers. It is safe for concurrent use.
type Node struct {
	options Options
	log     *slog.Logger
	spread  chan struct{} // room for one: spreading is asked for

	encodings encodings
	syncs     sync.WaitGroup
	periods   int // heartbeats so far; of Run

	mutex sync.Mutex
	state *membership.State
	// drains are the back ends of which others are still to be told that they are leaving, or are back.
	drains gossip[drain.SignalKey, drain.Record]
	// crashingRequests are those of which others are still to be told.
	crashingRequests gossip[quarantine.Fingerprint, quarantine.Record]
	// limits are the back ends of which others are still to be told how many requests they take.
	limits gossip[backend.Key, backendlimit.Record]
	// forming is what is known of the others' start.
	forming forming
	// expected is what another daemon is handing over.
	expected delivery

	// heard is when any other daemon was heard last.
	heard atomic.Pointer[time.Time]

	view        atomic.Pointer[View]
	dispatchers sync.Map // service name to the name of the daemon last chosen
}

// NewNode returns a node that knows only itself.
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
	n := &Node{
		options: options, log: logging.Component(options.Log, "membership"), spread: make(chan struct{}, 1),
		state: membership.NewState(options.Self, options.Random), drains: newGossip(options.Drains, drainKey, maxDrains, maxDrainRumors),
		crashingRequests: newGossip(options.Quarantine, fingerprintOf, maxCrashingRequests, maxCrashingRumors),
		limits:           newGossip(options.Limits, limitKey, maxLimits, maxLimitRumors),
	}
	n.forming.started = time.Now()
	n.heard.Store(&n.forming.started)
	n.refreshView()
	return n
}

// change runs a change of the members, which source told, under the mutex,
// refreshes the view, and logs what is new.
func (n *Node) change(source string, apply func(now time.Time)) {
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

// Members returns every member known, this daemon included.
func (n *Node) Members() []membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append(n.state.Members(), n.state.Self())
}

// Suspect notes that a member could not be reached.
func (n *Node) Suspect(name string) {
	n.options.OnNoAnswer()
	n.change(byNoAnswer, func(now time.Time) { n.state.MarkUnreachable(now, name) })
}

// spreadSoon lets a few members be told at once, as there is news.
func (n *Node) spreadSoon() {
	select {
	case n.spread <- struct{}{}:
	default: // spreading is already asked for
	}
}

// tellDispatcher tells the news to the daemon that gives out the places of a service at once,
// and to a few others soon. It does not block.
func (n *Node) tellDispatcher(service string) {
	if dispatcher, other := n.DispatcherOf(service); other {
		n.syncs.Go(func() {
			if err := n.exchange(context.Background(), dispatcher); err != nil {
				n.log.Debug("news not delivered", "member", dispatcher.Name, "error", err)
			}
		})
	}
	n.spreadSoon()
}

// Run joins the other daemons and exchanges news until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer n.syncs.Wait()
	n.join(ctx, firstSeeds, firstJoin)
	formed := time.NewTimer(seedsTime)
	defer formed.Stop()
	timer := time.NewTimer(n.nextPeriod())
	defer timer.Stop()
	again := time.NewTicker(joinAgain)
	defer again.Stop()
	joins := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.spread:
			n.tellSome(ctx)
			wait.Sleep(ctx, spreadInterval)
		case <-formed.C:
			n.refreshDispatchers()
		case <-again.C:
			n.join(ctx, laterSeeds, 0)
			if joins++; joins == joinRepeats {
				again.Stop()
			}
		case <-timer.C:
			n.period(ctx)
			n.periods++
			timer.Reset(n.nextPeriod())
		}
	}
}

func (n *Node) nextPeriod() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	shift := (n.options.Random.Float64()*2 - 1) * jitter
	period := membership.Period
	if doublings := n.periods / beatsPerDoubling; doublings < periodDoublings {
		period = min(period, firstPeriod<<doublings)
	}
	return time.Duration((1 + shift) * float64(period))
}

func (n *Node) self() membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.state.Self()
}

// Leave tells a few members that this daemon leaves.
func (n *Node) Leave(ctx context.Context) {
	n.change(bySelf, func(time.Time) { n.state.Leave() })
	n.tellSome(ctx)
}
