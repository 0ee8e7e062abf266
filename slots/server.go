package slots

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmetadata"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/ratelimit"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
)

// waitingNoticeDelay is the delay after which a request that waits for a permit is sent a
// notice that it waits.
const waitingNoticeDelay = 50 * time.Millisecond

// Server grants permits to other daemons.
type Server struct {
	services *service.Registry
	reports  ReportHandler
}

// ReportHandler handles the reports of tenant usage that daemons exchange which grant permits.
// HandleReport processes the report of another daemon and returns the reply; it must not
// block.
type ReportHandler interface {
	HandleReport(report ratelimit.Report) ratelimit.Report
}

// NewServer returns a server for the permits of the services. reports may be nil, in which
// case reports of tenant usage are ignored.
func NewServer(services *service.Registry, reports ReportHandler) *Server {
	return &Server{services: services, reports: reports}
}

// Session implements peerpb.DRPCSlotsServer. It blocks until the other side ends the session.
func (s *Server) Session(stream peerpb.DRPCSlots_SessionStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	metadata, _ := drpcmetadata.Get(ctx)
	sess := &serverSession{
		daemon:   metadata[metadataDaemon],
		services: s.services, stream: stream, cancel: cancel,
		queue: make(chan *peerpb.SlotReply, queueLength), requests: make(map[uint64]*permitRequest),
	}
	defer sess.releaseAll()
	defer sess.tasks.Wait()
	defer cancel()
	sess.tasks.Go(func() { sess.writeLoop(ctx) })
	for {
		request, err := stream.Recv()
		if err != nil {
			return nil // the session has ended
		}
		switch {
		case request.Acquire != nil:
			sess.acquire(ctx, request.Id, request.Acquire)
		case request.Release != nil:
			sess.release(request.Id, request.Release)
		case request.Uses != nil && s.reports != nil:
			sess.send(&peerpb.SlotReply{Id: request.Id, Uses: encodeReport(s.reports.HandleReport(decodeReport(request.Uses)))})
		}
	}
}

// serverSession holds the requests of one session.
type serverSession struct {
	daemon   string // that opened the session; empty: unknown
	services *service.Registry
	tasks    sync.WaitGroup
	cancel   context.CancelFunc // ends the session
	stream   peerpb.DRPCSlots_SessionStream
	queue    chan *peerpb.SlotReply // to be sent, in order

	mutex    sync.Mutex
	requests map[uint64]*permitRequest
}

// permitRequest is a request that waits for a permit or holds one.
type permitRequest struct {
	service *service.Service
	cancel  context.CancelFunc
	grant   *dispatch.Grant // nil while it waits
}

// send queues a message without blocking. A full queue ends the session, because the other
// side does not read.
func (s *serverSession) send(reply *peerpb.SlotReply) {
	select {
	case s.queue <- reply:
	default:
		s.abort()
	}
}

// abort ends the session from this side.
func (s *serverSession) abort() {
	s.cancel()
	_ = s.stream.Close()
}

// writeLoop sends queued messages until the session ends.
func (s *serverSession) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-s.queue:
			if err := s.stream.Send(reply); err != nil {
				s.abort()
				return
			}
		}
	}
}

func (s *serverSession) acquire(ctx context.Context, id uint64, request *peerpb.Acquire) {
	found, known := s.services.Find(request.Service)
	if !known {
		s.send(encodeRefusal(id, &resultcode.Failure{Code: resultcode.NoService, Detail: "service " + request.Service}))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	pending := &permitRequest{service: found, cancel: cancel}
	s.mutex.Lock()
	s.requests[id] = pending
	s.mutex.Unlock()
	kind := retry.Kind(request.Attempt)
	decoded := decodeRequest(time.Now(), request)
	decoded.Daemon = s.daemon
	s.tasks.Go(func() { s.awaitPermit(ctx, id, pending, kind, decoded) })
}

// awaitPermit waits for the request's permit and sends the result.
func (s *serverSession) awaitPermit(ctx context.Context, id uint64, pending *permitRequest, kind retry.Kind, request dispatch.Request) {
	notice := time.AfterFunc(waitingNoticeDelay, func() { s.send(&peerpb.SlotReply{Id: id, Waiting: true}) })
	grant, err := pending.service.Acquire(ctx, service.AsDispatcher(), kind, request)
	notice.Stop()
	if err != nil {
		s.remove(id)
		s.send(encodeRefusal(id, err))
		return
	}
	if !s.attachGrant(id, pending, grant) {
		grant.Done(routing.Canceled, 0, nil)
		return
	}
	s.send(&peerpb.SlotReply{Id: id, Grant: &peerpb.Grant{
		Backend: grant.Backend.ID, Reason: string(grant.Reason), Candidates: int64(grant.Candidates),
		ReportAgeUs: grant.ReportAge.Microseconds(), WaitedUs: grant.Waited().Microseconds(),
		BestInFlight: int64(grant.BestInFlight), HedgeAfterUs: grant.HedgeAfter.Microseconds(), Followed: grant.Followed, MayBeSilent: grant.MayBeSilent,
	}})
	if grant.Followed {
		grant.OnDisturbed(func() { s.send(&peerpb.SlotReply{Id: id, Disturbed: true}) })
	}
}

// attachGrant stores the grant, and returns false if the request has been abandoned in the
// meantime.
func (s *serverSession) attachGrant(id uint64, pending *permitRequest, grant *dispatch.Grant) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.requests[id] != pending {
		return false
	}
	pending.grant = grant
	return true
}

func (s *serverSession) remove(id uint64) *permitRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pending := s.requests[id]
	delete(s.requests, id)
	return pending
}

// release releases a permit, or cancels the wait for it.
func (s *serverSession) release(id uint64, message *peerpb.Release) {
	pending := s.remove(id)
	if pending == nil {
		return
	}
	pending.cancel()
	if pending.grant == nil {
		return
	}
	var report *routing.Report
	if message.Load != nil {
		report = &routing.Report{InFlight: int(message.Load.InFlight), Slowdown: message.Load.Slowdown}
	}
	pending.grant.Done(routing.Outcome(message.Outcome), microseconds(message.LatencyUs), report)
}

// releaseAll releases all permits. It is called once no request waits any more.
func (s *serverSession) releaseAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, pending := range s.requests {
		pending.cancel()
		if pending.grant != nil {
			pending.grant.Done(routing.Canceled, 0, nil)
		}
	}
	s.requests = nil
}

func decodeRequest(now time.Time, encoded *peerpb.Acquire) dispatch.Request {
	return dispatch.Request{
		Weight: int(encoded.Weight), Wait: microseconds(encoded.WaitUs), Deadline: now.Add(microseconds(encoded.RemainingUs)), FirstTry: now.Add(-microseconds(encoded.AgeUs)),
		Class: encoded.Class, Tenant: encoded.Tenant, Objective: microseconds(encoded.ObjectiveUs), Fingerprints: quarantine.Fingerprints{Exact: quarantine.Fingerprint(encoded.Fingerprint), Broad: quarantine.Fingerprint(encoded.Broad)},
		Routing: routing.Request{Session: encoded.Session, Tried: encoded.Tried, Repeatable: encoded.Repeatable, Zone: encoded.Zone, Excluded: decodeExclusions(now, encoded.Excluded)},
	}
}

func decodeExclusions(now time.Time, encoded []*peerpb.Exclusion) []routing.Exclusion {
	exclusions := make([]routing.Exclusion, 0, len(encoded))
	for _, entry := range encoded {
		exclusion := routing.Exclusion{Backend: entry.Backend}
		if entry.LeftUs > 0 {
			exclusion.Until = now.Add(microseconds(entry.LeftUs))
		}
		exclusions = append(exclusions, exclusion)
	}
	return exclusions
}

func encodeRefusal(id uint64, err error) *peerpb.SlotReply {
	if errors.Is(err, service.ErrOverBudget) {
		return &peerpb.SlotReply{Id: id, Refusal: &peerpb.Refusal{OverBudget: true}}
	}
	failure := resultcode.AsFailure(err, resultcode.NoBackend)
	return &peerpb.SlotReply{Id: id, Refusal: &peerpb.Refusal{
		Code: int64(failure.Code), Detail: failure.Detail, RetryAfterUs: failure.RetryAfter.Microseconds(),
	}}
}

func microseconds(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}
