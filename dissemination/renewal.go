package dissemination

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/wait"
)

// errOverdue is the cause of the end of a watch that is renewed early.
const errOverdue = errors.ConstError("no watcher has renewed its watch in time")

// renewalStagger separates the early renewals of two watchers, so that the notice of the first
// one reaches the others before they renew too.
const renewalStagger = 50 * time.Millisecond

// renewalTimeout returns how long after the last renewal by any watcher the one with this rank
// renews its own watch. In turn they renew once per gap. Watchers that are cut off from the store
// leave out their turns, and the others cannot know how many there are.
func renewalTimeout(gap time.Duration, rank int) time.Duration {
	return gap*3/2 + time.Duration(rank)*renewalStagger
}

// renewalSchedule determines how long each watch of a source waits. The zero value is that of a
// watcher that has just started.
type renewalSchedule struct {
	// poll: the next watch does not wait, since it is not known whether the store answers.
	poll bool
	// until is the scheduled end of the current watch; zero: the turns begin anew. A poll does not
	// change it: if a watcher that stands in for others gave up its own turn, another poll would
	// be due then.
	until time.Time
}

// nextDuration returns how long the next watch waits; see watchDuration.
func (s *renewalSchedule) nextDuration(now time.Time, gap time.Duration, rank, watchers int) time.Duration {
	if s.poll {
		return 0
	}
	if !now.Before(s.until) {
		s.until = now.Add(watchDuration(gap, rank, watchers, s.until.IsZero()))
	}
	return s.until.Sub(now)
}

// answerKind says when the store answered a watch.
type answerKind int

const (
	// answeredInTurn: at the end of the wait.
	answeredInTurn answerKind = iota
	// answeredEarly: there was a change, or the source was listed, as all watchers do when they
	// start.
	answeredEarly
	// answeredPoll: at once, as the watch was not to wait.
	answeredPoll
)

// answered records that the store has answered a watch. All watchers get an early answer at the
// same time, so that the turns begin anew. Changes of other sources, or those that peers have
// delivered meanwhile, are no reason for that: the watchers would begin at different times.
func (s *renewalSchedule) answered(now time.Time) answerKind {
	switch {
	case s.poll:
		s.poll = false
		return answeredPoll
	case now.Before(s.until):
		s.until = time.Time{}
		return answeredEarly
	}
	return answeredInTurn
}

// renewals records when the store last answered any watcher, by source. It is safe for concurrent
// use, and its zero value is empty.
type renewals struct {
	mutex sync.Mutex
	last  map[string]time.Time
}

func (r *renewals) record(source string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.last == nil {
		r.last = make(map[string]time.Time)
	}
	r.last[source] = now
}

// since returns when the store last answered a watcher, but not before start.
func (r *renewals) since(source string, start time.Time) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if last := r.last[source]; last.After(start) {
		return last
	}
	return start
}

// RecordRenewal implements peer.Configuration. A source that this daemon does not know is ignored.
func (f *Follower) RecordRenewal(source string) {
	if slices.ContainsFunc(f.options.Sources, func(own Source) bool { return own.Name() == source }) {
		f.renewals.record(source, time.Now())
	}
}

// recordOwnRenewal records that the store has answered this daemon's watch, and tells the other
// watchers.
func (f *Follower) recordOwnRenewal(ctx context.Context, source Source) {
	f.renewals.record(source.Name(), time.Now())
	if f.renewsInTurn(source) {
		go f.peers.NotifyRenewal(ctx, WatcherKey, f.options.Watchers, source.Name())
	}
}

// renewsInTurn reports whether this daemon takes turns with other watchers of a source. Failover
// watchers do not: they get no notices, and after the loss of many daemons there are as many of
// them as daemons are left.
func (f *Follower) renewsInTurn(source Source) bool {
	return f.options.Watchers > 0 && f.renewalGap(source) > 0 && f.isWatcher()
}

// cancelWhenOverdue cancels a watch with errOverdue once no watcher has renewed its watch for the
// renewal timeout.
func (f *Follower) cancelWhenOverdue(ctx context.Context, source Source, rank int, cancel context.CancelCauseFunc) {
	started := time.Now()
	timeout := renewalTimeout(f.renewalGap(source), rank)
	for {
		remaining := timeout - time.Since(f.renewals.since(source.Name(), started))
		if remaining <= 0 {
			cancel(errOverdue)
			return
		}
		if !wait.Sleep(ctx, remaining) {
			return
		}
	}
}
