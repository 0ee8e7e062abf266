package slots

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
)

// session is a stream of messages to a dispatcher.
type session struct {
	address string
	opened  chan struct{} // closed once open has ended
	onEnd   func()        // called once the stream has ended
	cancel  context.CancelFunc
	conn    *drpcconn.Conn
	stream  peerpb.DRPCSlots_SessionClient
	queue   chan *peerpb.SlotRequest // to be sent, in order

	mutex       sync.Mutex
	err         error // why the session ended
	lastID      uint64
	pending     map[uint64]chan *peerpb.SlotReply
	heldPermits int
	// followed holds a channel per permit whose request may turn out to have met a disturbed
	// back end. The channel is closed when the dispatcher reports that.
	followed map[uint64]chan struct{}
	lastUsed time.Time
}

// queueLength bounds the messages of a session that wait to be sent. A full queue ends the
// session, because the other side does not read.
const queueLength = 1024

func newSession(address string) *session {
	return &session{
		address: address, opened: make(chan struct{}), queue: make(chan *peerpb.SlotRequest, queueLength),
		pending: make(map[uint64]chan *peerpb.SlotReply), followed: make(map[uint64]chan struct{}), lastUsed: time.Now(),
	}
}

// metadataDaemon is the metadata of a session that names the daemon that opened it.
const metadataDaemon = "daemon"

// open connects to the dispatcher in the name of a daemon and starts to read replies.
func (s *session) open(transport network.Network, name string) error {
	defer close(s.opened)
	dialCtx, cancelDial := context.WithTimeout(context.Background(), openTimeout)
	defer cancelDial()
	conn, err := transport.Dial(dialCtx, s.address)
	if err != nil {
		return s.fail(err)
	}
	ctx, cancel := context.WithCancel(drpcmetadata.Add(context.Background(), metadataDaemon, name))
	s.cancel, s.conn = cancel, drpcconn.New(conn)
	stream, err := peerpb.NewDRPCSlotsClient(s.conn).Session(ctx)
	if err != nil {
		cancel()
		conn.Close()
		return s.fail(err)
	}
	s.stream = stream
	go s.readLoop()
	go s.writeLoop(ctx)
	return nil
}

func (s *session) endErr() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.err
}

// fail ends the session for every waiting request, and returns the error that they get.
func (s *session) fail(cause error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err == nil {
		s.err = unreachable(cause)
		for id, replies := range s.pending {
			close(replies)
			delete(s.pending, id)
		}
	}
	return s.err
}

// readLoop handles replies until the session ends.
func (s *session) readLoop() {
	for {
		reply, err := s.stream.Recv()
		if err != nil {
			_ = s.fail(err)
			s.cancel()
			s.conn.Close()
			s.onEnd()
			return
		}
		s.handleReply(reply)
	}
}

func (s *session) handleReply(reply *peerpb.SlotReply) {
	if reply.Disturbed {
		s.notifyDisturbed(reply.Id)
		return
	}
	s.mutex.Lock()
	replies, known := s.pending[reply.Id]
	if known && reply.Grant.GetFollowed() {
		s.followed[reply.Id] = make(chan struct{})
	}
	if known {
		select {
		case replies <- reply:
		default: // a second waiting notice carries no new information
		}
	}
	s.mutex.Unlock()
	if !known && reply.Grant != nil {
		// The request was abandoned in the meantime.
		s.send(&peerpb.SlotRequest{Id: reply.Id, Release: &peerpb.Release{Outcome: int32(routing.Canceled)}})
	}
}

// disturbedChan returns the channel that is closed when the dispatcher reports that a request
// met a disturbed back end; nil: it will not report that.
func (s *session) disturbedChan(id uint64) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.followed[id]
}

// removeFollowed removes the channel of a permit whose request has ended.
func (s *session) removeFollowed(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.followed, id)
}

// notifyDisturbed closes the channel of a permit whose request met a disturbed back end.
func (s *session) notifyDisturbed(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if notified, known := s.followed[id]; known {
		close(notified)
		delete(s.followed, id)
	}
}

// send queues a message without blocking. A full queue ends the session.
func (s *session) send(request *peerpb.SlotRequest) {
	select {
	case s.queue <- request:
	default:
		_ = s.fail(errors.New("send queue is full: the dispatcher does not read"))
	}
}

// writeLoop sends queued messages until the session ends. A failed send ends the session.
func (s *session) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-s.queue:
			if err := s.stream.Send(request); err != nil {
				_ = s.fail(err)
				s.cancel()
				return
			}
		}
	}
}

// close ends the session.
func (s *session) close() {
	_ = s.fail(errors.New("session closed"))
	<-s.opened
	if s.cancel != nil {
		s.cancel()
		s.conn.Close()
	}
}

// isIdle reports whether the session has been unused for sessionIdleTimeout and holds no
// permits.
func (s *session) isIdle(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.heldPermits == 0 && len(s.pending) == 0 && now.Sub(s.lastUsed) > sessionIdleTimeout
}

// register adds a request that waits for its reply. The channel has room for the waiting
// notice and the reply itself, so that handleReply never blocks.
func (s *session) register() (uint64, chan *peerpb.SlotReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err != nil {
		return 0, nil, s.err
	}
	s.lastID++
	replies := make(chan *peerpb.SlotReply, 2)
	s.pending[s.lastID] = replies
	s.lastUsed = time.Now()
	return s.lastID, replies, nil
}

// unregister removes a request that no longer waits, and records whether it got a permit.
func (s *session) unregister(id uint64, granted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, id)
	if granted {
		s.heldPermits++
	}
}

// acquire requests a permit and waits for the reply.
func (s *session) acquire(ctx context.Context, service string, kind retry.Kind, request dispatch.Request) (*Grant, error) {
	id, replies, err := s.register()
	if err != nil {
		return nil, err
	}
	s.send(&peerpb.SlotRequest{Id: id, Acquire: encodeRequest(time.Now(), service, kind, request)})
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	for {
		select {
		case reply, open := <-replies:
			switch {
			case !open:
				return nil, s.endErr()
			case reply.Waiting:
				// The dispatcher is alive. The permit may now take as long as the request may wait.
				timer.Reset(maxWait(time.Now(), request) + replyTimeout)
			default:
				s.unregister(id, reply.Grant != nil)
				return s.decodeReply(reply)
			}
		case <-timer.C:
			s.abandon(id)
			return nil, unreachable(errors.New("the dispatcher did not reply within the timeout"))
		case <-ctx.Done():
			s.abandon(id)
			return nil, contextFailure(ctx)
		}
	}
}

// maxWait returns how long the dispatcher may let the request wait.
func maxWait(now time.Time, request dispatch.Request) time.Duration {
	remaining := request.Deadline.Sub(now)
	if request.Wait > 0 {
		return min(remaining, request.Wait)
	}
	return remaining
}

// abandon cancels the wait for a permit.
func (s *session) abandon(id uint64) {
	s.unregister(id, false)
	s.removeFollowed(id)
	s.send(&peerpb.SlotRequest{Id: id, Release: &peerpb.Release{Outcome: int32(routing.Canceled)}})
}

func (s *session) decodeReply(reply *peerpb.SlotReply) (*Grant, error) {
	if reply.Refusal != nil {
		return nil, decodeRefusal(reply.Refusal)
	}
	grant := reply.Grant
	return &Grant{
		Disturbed: s.disturbedChan(reply.Id),
		Backend:   grant.Backend, Reason: routing.Reason(grant.Reason), Candidates: int(grant.Candidates),
		ReportAge: microseconds(grant.ReportAgeUs), Waited: microseconds(grant.WaitedUs), BestInFlight: int(grant.BestInFlight), HedgeAfter: microseconds(grant.HedgeAfterUs), MayBeSilent: grant.MayBeSilent, session: s, id: reply.Id,
	}, nil
}

// decodeRefusal returns the error for a refusal. If the dispatcher lacks the service or its
// back ends, that is not a failure of the request, because this daemon may know them.
func decodeRefusal(refusal *peerpb.Refusal) error {
	if refusal.OverBudget {
		return service.ErrOverBudget
	}
	code := resultcode.Code(refusal.Code)
	if code.MissingConfiguration() {
		return errors.Annotate(ErrStaleDispatcher, refusal.Detail)
	}
	return &resultcode.Failure{Code: code, Detail: refusal.Detail, RetryAfter: microseconds(refusal.RetryAfterUs)}
}

func (s *session) release(id uint64, outcome routing.Outcome, latency time.Duration, report *routing.Report) {
	s.mutex.Lock()
	s.heldPermits--
	ended := s.err != nil
	s.mutex.Unlock()
	if ended {
		return // the dispatcher has released the permit already
	}
	message := &peerpb.Release{Outcome: int32(outcome), LatencyUs: latency.Microseconds()}
	if report != nil {
		message.Load = &peerpb.Load{InFlight: int64(report.InFlight), Slowdown: report.Slowdown}
	}
	s.send(&peerpb.SlotRequest{Id: id, Release: message})
}

func encodeRequest(now time.Time, service string, kind retry.Kind, request dispatch.Request) *peerpb.Acquire {
	return &peerpb.Acquire{
		Service: service, Attempt: int32(kind), Weight: int64(request.Weight), WaitUs: request.Wait.Microseconds(),
		RemainingUs: request.Deadline.Sub(now).Microseconds(), Session: request.Routing.Session,
		Tried: request.Routing.Tried, Repeatable: request.Routing.Repeatable, Zone: request.Routing.Zone,
		AgeUs: age(now, request.FirstTry).Microseconds(), Class: request.Class, ObjectiveUs: request.Objective.Microseconds(),
		Fingerprint: uint64(request.Fingerprints.Exact), Broad: uint64(request.Fingerprints.Broad), Tenant: request.Tenant,
		Excluded: encodeExclusions(now, request.Routing.Excluded),
	}
}

func encodeExclusions(now time.Time, exclusions []routing.Exclusion) []*peerpb.Exclusion {
	encoded := make([]*peerpb.Exclusion, 0, len(exclusions))
	for _, exclusion := range exclusions {
		entry := &peerpb.Exclusion{Backend: exclusion.Backend}
		if !exclusion.Until.IsZero() {
			entry.LeftUs = max(exclusion.Until.Sub(now).Microseconds(), 1)
		}
		encoded = append(encoded, entry)
	}
	return encoded
}

// age returns how long ago the caller first sent the request; 0 if unknown.
func age(now, firstTry time.Time) time.Duration {
	if firstTry.IsZero() {
		return 0
	}
	return now.Sub(firstTry)
}
