package slots

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
)

// session is one stream of requests to a dispatcher.
type session struct {
	address string
	opened  chan struct{} // closed once open has ended
	ended   func()        // called once the stream has ended
	cancel  context.CancelFunc
	conn    *drpcconn.Conn
	stream  peerpb.DRPCSlots_SessionClient
	queue   chan *peerpb.SlotRequest // to be sent, in order

	mutex   sync.Mutex
	err     error // why the session is over
	next    uint64
	waiting map[uint64]chan *peerpb.SlotReply
	held    int
	// followed are closed when it is told that the request that has the place met a
	// disturbed back end.
	followed map[uint64]chan struct{}
	used     time.Time
}

// queueLength bounds the messages of a session that are not written yet. A full
// queue ends the session: the dispatcher does not read.
const queueLength = 1024

func newSession(address string) *session {
	return &session{
		address: address, opened: make(chan struct{}), queue: make(chan *peerpb.SlotRequest, queueLength),
		waiting: make(map[uint64]chan *peerpb.SlotReply), followed: make(map[uint64]chan struct{}), used: time.Now(),
	}
}

// open connects and starts to read answers.
func (s *session) open(over network.Network) error {
	defer close(s.opened)
	dialing, done := context.WithTimeout(context.Background(), openTimeout)
	defer done()
	conn, err := over.Dial(dialing, s.address)
	if err != nil {
		return s.fail(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel, s.conn = cancel, drpcconn.New(conn)
	stream, err := peerpb.NewDRPCSlotsClient(s.conn).Session(ctx)
	if err != nil {
		cancel()
		conn.Close()
		return s.fail(err)
	}
	s.stream = stream
	go s.read()
	go s.write(ctx)
	return nil
}

func (s *session) failure() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.err
}

// fail ends the session for every request that waits, and returns the error that
// they get.
func (s *session) fail(cause error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err == nil {
		s.err = unreachable(cause)
		for id, told := range s.waiting {
			close(told)
			delete(s.waiting, id)
		}
	}
	return s.err
}

// read hands out answers until the session ends.
func (s *session) read() {
	for {
		reply, err := s.stream.Recv()
		if err != nil {
			_ = s.fail(err)
			s.cancel()
			s.conn.Close()
			s.ended()
			return
		}
		s.take(reply)
	}
}

func (s *session) take(reply *peerpb.SlotReply) {
	if reply.Disturbed {
		s.tellDisturbed(reply.Id)
		return
	}
	s.mutex.Lock()
	told, known := s.waiting[reply.Id]
	if known && reply.Grant.GetFollowed() {
		s.followed[reply.Id] = make(chan struct{})
	}
	if known {
		select {
		case told <- reply:
		default: // a second notice that the request waits tells nothing new
		}
	}
	s.mutex.Unlock()
	if !known && reply.Grant != nil {
		// The request was given up on in the meantime.
		s.send(&peerpb.SlotRequest{Id: reply.Id, Release: &peerpb.Release{Outcome: int32(routing.Canceled)}})
	}
}

// following returns what is closed when it is told that a request met a disturbed back end;
// nil: it will not be told.
func (s *session) following(id uint64) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.followed[id]
}

// unfollow forgets a place whose request has ended.
func (s *session) unfollow(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.followed, id)
}

// tellDisturbed tells that the request that has a place met a disturbed back end.
func (s *session) tellDisturbed(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if told, known := s.followed[id]; known {
		close(told)
		delete(s.followed, id)
	}
}

// send queues one message. It does not block.
func (s *session) send(request *peerpb.SlotRequest) {
	select {
	case s.queue <- request:
	default:
		_ = s.fail(errors.New("the dispatcher does not read"))
	}
}

// write sends queued messages until the session ends. What it cannot send ends
// the session.
func (s *session) write(ctx context.Context) {
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

// idle says whether nothing was asked for a while and no place is held.
func (s *session) idle(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held == 0 && len(s.waiting) == 0 && now.Sub(s.used) > idleSession
}

// enter notes a request that waits for its answer. There is room for the notice
// that it waits and for the answer itself.
func (s *session) enter() (uint64, chan *peerpb.SlotReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err != nil {
		return 0, nil, s.err
	}
	s.next++
	told := make(chan *peerpb.SlotReply, 2)
	s.waiting[s.next] = told
	s.used = time.Now()
	return s.next, told, nil
}

// leave notes that a request no longer waits, and whether it got a place.
func (s *session) leave(id uint64, granted bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.waiting, id)
	if granted {
		s.held++
	}
}

// acquire asks for a place and waits for the answer.
func (s *session) acquire(ctx context.Context, service string, kind retry.Kind, request dispatch.Request) (*Grant, error) {
	id, told, err := s.enter()
	if err != nil {
		return nil, err
	}
	s.send(&peerpb.SlotRequest{Id: id, Acquire: encodeRequest(time.Now(), service, kind, request)})
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case reply, open := <-told:
			switch {
			case !open:
				return nil, s.failure()
			case reply.Waiting:
				// It answers; it may now take as long as the request may wait.
				timer.Reset(longestWait(time.Now(), request) + answerTimeout)
			default:
				s.leave(id, reply.Grant != nil)
				return s.unpack(reply)
			}
		case <-timer.C:
			s.giveUp(id)
			return nil, unreachable(errors.New("no answer in time"))
		case <-ctx.Done():
			s.giveUp(id)
			return nil, ended(ctx)
		}
	}
}

// longestWait is how long the dispatcher may let the request wait.
func longestWait(now time.Time, request dispatch.Request) time.Duration {
	left := request.Deadline.Sub(now)
	if request.Wait > 0 {
		return min(left, request.Wait)
	}
	return left
}

// giveUp ends the wait for a place.
func (s *session) giveUp(id uint64) {
	s.leave(id, false)
	s.unfollow(id)
	s.send(&peerpb.SlotRequest{Id: id, Release: &peerpb.Release{Outcome: int32(routing.Canceled)}})
}

func (s *session) unpack(reply *peerpb.SlotReply) (*Grant, error) {
	if reply.Refusal != nil {
		return nil, refusalError(reply.Refusal)
	}
	granted := reply.Grant
	return &Grant{
		Disturbed: s.following(reply.Id),
		Backend:   granted.Backend, Reason: routing.Reason(granted.Reason), Candidates: int(granted.Candidates),
		ReportAge: microseconds(granted.ReportAgeUs), Waited: microseconds(granted.WaitedUs), BestInFlight: int(granted.BestInFlight), HedgeAfter: microseconds(granted.HedgeAfterUs), session: s, id: reply.Id,
	}, nil
}

// refusalError is what a refusal means for the request. What a dispatcher lacks says
// nothing of what this daemon knows.
func refusalError(refused *peerpb.Refusal) error {
	if refused.OverBudget {
		return service.ErrOverBudget
	}
	code := resultcode.Code(refused.Code)
	if code.Lacks() {
		return errors.Annotate(ErrStaleDispatcher, refused.Detail)
	}
	return &resultcode.Failure{Code: code, Detail: refused.Detail, RetryAfter: microseconds(refused.RetryAfterUs)}
}

func (s *session) release(id uint64, outcome routing.Outcome, latency time.Duration, report *routing.Report) {
	s.mutex.Lock()
	s.held--
	over := s.err != nil
	s.mutex.Unlock()
	if over {
		return // the dispatcher has taken the place back
	}
	told := &peerpb.Release{Outcome: int32(outcome), LatencyUs: latency.Microseconds()}
	if report != nil {
		told.Load = &peerpb.Load{InFlight: int64(report.InFlight), Slowdown: report.Slowdown}
	}
	s.send(&peerpb.SlotRequest{Id: id, Release: told})
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
		one := &peerpb.Exclusion{Backend: exclusion.Backend}
		if !exclusion.Until.IsZero() {
			one.LeftUs = max(exclusion.Until.Sub(now).Microseconds(), 1)
		}
		encoded = append(encoded, one)
	}
	return encoded
}

// age returns for how long the caller has waited; 0 where that is not known.
func age(now, firstTry time.Time) time.Duration {
	if firstTry.IsZero() {
		return 0
	}
	return now.Sub(firstTry)
}
