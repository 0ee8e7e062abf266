package slots

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/ratelimit"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
)

// waitingNotice is after how long a request that waits for a place is told so.
const waitingNotice = 50 * time.Millisecond

// Server answers other daemons that ask for places.
type Server struct {
	services *service.Registry
	rates    ReportHandler
}

// ReportHandler is what daemons that give out places tell each other of tenants. Hear takes in what
// another one tells and returns what it is told in turn; it must not block.
type ReportHandler interface {
	HandleReport(report ratelimit.Report) ratelimit.Report
}

// NewServer returns a server for the places of the services; rates nil: tenants have none.
func NewServer(services *service.Registry, rates ReportHandler) *Server {
	return &Server{services: services, rates: rates}
}

// Session implements peerpb.DRPCSlotsServer. It blocks until the other side ends
// the session.
func (s *Server) Session(stream peerpb.DRPCSlots_SessionStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	held := &holdings{
		services: s.services, stream: stream, cancel: cancel,
		queue: make(chan *peerpb.SlotReply, queueLength), requests: make(map[uint64]*holding),
	}
	defer held.freeAll()
	defer held.running.Wait()
	defer cancel()
	held.running.Go(func() { held.write(ctx) })
	for {
		request, err := stream.Recv()
		if err != nil {
			return nil // the session is over
		}
		switch {
		case request.Acquire != nil:
			held.acquire(ctx, request.Id, request.Acquire)
		case request.Release != nil:
			held.release(request.Id, request.Release)
		case request.Uses != nil && s.rates != nil:
			held.send(&peerpb.SlotReply{Id: request.Id, Uses: encodeReport(s.rates.HandleReport(decodeReport(request.Uses)))})
		}
	}
}

// holdings are the requests of one session.
type holdings struct {
	services *service.Registry
	running  sync.WaitGroup
	cancel   context.CancelFunc // ends the session
	stream   peerpb.DRPCSlots_SessionStream
	queue    chan *peerpb.SlotReply // to be sent, in order

	mutex    sync.Mutex
	requests map[uint64]*holding
}

// holding is one request that waits for a place or has it.
type holding struct {
	service *service.Service
	cancel  context.CancelFunc
	grant   *dispatch.Grant // nil while it waits
}

// send queues one message. It does not block; a full queue ends the session: the
// other side does not read.
func (h *holdings) send(reply *peerpb.SlotReply) {
	select {
	case h.queue <- reply:
	default:
		h.end()
	}
}

// end ends the session from this side.
func (h *holdings) end() {
	h.cancel()
	_ = h.stream.Close()
}

// write sends queued messages until the session ends.
func (h *holdings) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-h.queue:
			if err := h.stream.Send(reply); err != nil {
				h.end()
				return
			}
		}
	}
}

func (h *holdings) acquire(ctx context.Context, id uint64, request *peerpb.Acquire) {
	running, known := h.services.Find(request.Service)
	if !known {
		h.send(refusal(id, &resultcode.Failure{Code: resultcode.NoService, Detail: "service " + request.Service}))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	one := &holding{service: running, cancel: cancel}
	h.mutex.Lock()
	h.requests[id] = one
	h.mutex.Unlock()
	kind := retry.Kind(request.Attempt)
	h.running.Go(func() { h.wait(ctx, id, one, kind, decodeRequest(time.Now(), request)) })
}

// wait waits for the request's place and tells what became of it.
func (h *holdings) wait(ctx context.Context, id uint64, one *holding, kind retry.Kind, request dispatch.Request) {
	notice := time.AfterFunc(waitingNotice, func() { h.send(&peerpb.SlotReply{Id: id, Waiting: true}) })
	grant, err := one.service.Acquire(ctx, service.AsDispatcher(), kind, request)
	notice.Stop()
	if err != nil {
		h.forget(id)
		h.send(refusal(id, err))
		return
	}
	if !h.hold(id, one, grant) {
		grant.Done(routing.Canceled, 0, nil)
		return
	}
	h.send(&peerpb.SlotReply{Id: id, Grant: &peerpb.Grant{
		Backend: grant.Backend.ID, Reason: string(grant.Reason), Candidates: int64(grant.Candidates),
		ReportAgeUs: grant.ReportAge.Microseconds(), WaitedUs: grant.Waited().Microseconds(),
		BestInFlight: int64(grant.BestInFlight), HedgeAfterUs: grant.HedgeAfter.Microseconds(), Followed: grant.Followed,
	}})
	if grant.Followed {
		grant.OnDisturbed(func() { h.send(&peerpb.SlotReply{Id: id, Disturbed: true}) })
	}
}

// hold notes the grant unless the request was given up in the meantime.
func (h *holdings) hold(id uint64, one *holding, grant *dispatch.Grant) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.requests[id] != one {
		return false
	}
	one.grant = grant
	return true
}

func (h *holdings) forget(id uint64) *holding {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	one := h.requests[id]
	delete(h.requests, id)
	return one
}

// release takes a place back, or ends the wait for it.
func (h *holdings) release(id uint64, told *peerpb.Release) {
	one := h.forget(id)
	if one == nil {
		return
	}
	one.cancel()
	if one.grant == nil {
		return
	}
	var report *routing.Report
	if told.Load != nil {
		report = &routing.Report{InFlight: int(told.Load.InFlight), Slowdown: told.Load.Slowdown}
	}
	one.grant.Done(routing.Outcome(told.Outcome), microseconds(told.LatencyUs), report)
}

// freeAll takes every place back. Nothing waits any more.
func (h *holdings) freeAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, one := range h.requests {
		one.cancel()
		if one.grant != nil {
			one.grant.Done(routing.Canceled, 0, nil)
		}
	}
	h.requests = nil
}

func decodeRequest(now time.Time, from *peerpb.Acquire) dispatch.Request {
	return dispatch.Request{
		Weight: int(from.Weight), Wait: microseconds(from.WaitUs), Deadline: now.Add(microseconds(from.RemainingUs)), FirstTry: now.Add(-microseconds(from.AgeUs)),
		Class: from.Class, Tenant: from.Tenant, Objective: microseconds(from.ObjectiveUs), Fingerprints: quarantine.Fingerprints{Exact: quarantine.Fingerprint(from.Fingerprint), Broad: quarantine.Fingerprint(from.Broad)},
		Routing: routing.Request{Session: from.Session, Tried: from.Tried, Repeatable: from.Repeatable, Zone: from.Zone, Excluded: decodeExclusions(now, from.Excluded)},
	}
}

func decodeExclusions(now time.Time, encoded []*peerpb.Exclusion) []routing.Exclusion {
	exclusions := make([]routing.Exclusion, 0, len(encoded))
	for _, one := range encoded {
		exclusion := routing.Exclusion{Backend: one.Backend}
		if one.LeftUs > 0 {
			exclusion.Until = now.Add(microseconds(one.LeftUs))
		}
		exclusions = append(exclusions, exclusion)
	}
	return exclusions
}

func refusal(id uint64, err error) *peerpb.SlotReply {
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
