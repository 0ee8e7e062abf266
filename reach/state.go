package reach

import (
	"time"
)

// Thresholds and durations of the decisions.
const (
	// roundSize is how many back ends are checked in a round to find out whether this daemon is cut off. It
	// is large, as some of them may have ended.
	roundSize = 16
	// minRoundSize is the minimum number of checked back ends that shows a cut.
	minRoundSize = 3
	// firstChecks is how many of a round are checked at first; the others follow after spreadDelay if none
	// of these has been reached by then.
	firstChecks = 3
	// spreadDelay is many times as long as it takes to open a connection.
	spreadDelay = 25 * time.Millisecond
	// minRoundInterval is the minimum time between two rounds of checks.
	minRoundInterval = 100 * time.Millisecond
	// inconclusiveRoundInterval replaces it after a round of too few back ends to tell.
	inconclusiveRoundInterval = 2 * time.Second
	// cutOffCheckInterval is the time between two checks while this daemon is cut off.
	cutOffCheckInterval = 200 * time.Millisecond
	// cutOffChecks is how many back ends are checked at a time while this daemon is cut off.
	cutOffChecks = 2
	// minSilence is the minimum time without an answer on any connection after which a check is due.
	minSilence = 400 * time.Millisecond
	// maxSilence is its maximum, for back ends that take long to answer.
	maxSilence = 5 * time.Second
	// silenceFactor times the mean time to the next answer is the silence after which a check is due.
	silenceFactor = 4
	// silenceWeight is the weight of a new time in that mean.
	silenceWeight = 0.1
	// pathCheckInterval is the time between two checks of a failed path.
	pathCheckInterval = 500 * time.Millisecond
	// pathRetention is how long a failed path that no request is meant for is remembered. In a large fleet
	// a daemon seldom uses the same back end.
	pathRetention = 30 * time.Second
	// minBypassedPaths is how many paths are bypassed before others are checked, which may have failed with
	// them. A single one may have lost a packet.
	minBypassedPaths = 2
	// sweepSize is how many back ends are checked then.
	sweepSize = 64
	// minSweepInterval is the minimum time between two such sweeps.
	minSweepInterval = 5 * time.Second
	// contactAge is the maximum age of the last contact with any back end with which this daemon's
	// failure to reach one says something about that back end.
	contactAge = 300 * time.Millisecond
	// maxPaths bounds the paths that are tracked.
	maxPaths = 1024
)

// State is what this daemon knows about its paths to the back ends, by address. It is not safe for
// concurrent use.
type State struct {
	lastContact     time.Time // when anything was last read from a back end, or a connection opened
	unansweredSince time.Time // first write since the last read; zero: none
	answerTime      time.Duration
	cutOffSince     time.Time // zero: this daemon is not cut off
	suspected       bool      // a connection failed while nothing was heard from any back end
	lastRound       time.Time
	inconclusive    bool // the last round could not tell whether this daemon is cut off
	paths           map[string]path
	sweepDue        bool // a path has been bypassed since the last sweep
	lastSweep       time.Time
}

// path is a path on which a connection failed, and none has been opened since.
type path struct {
	bypassed  bool      // another daemon has reached the back end since
	usedAt    time.Time // last request for the back end
	checkedAt time.Time
}

// expired reports whether the path has not been used for so long that its failure is forgotten.
func (p path) expired(now time.Time) bool {
	return now.Sub(p.usedAt) >= pathRetention
}

// NewState returns the state of a daemon that has not used any back end yet.
func NewState() *State {
	return &State{paths: make(map[string]path)}
}

// RecordContact records that a connection to an address was opened or something was read from it,
// and reports whether this ends a cut.
func (s *State) RecordContact(now time.Time, address string) (reconnected bool) {
	reconnected = !s.cutOffSince.IsZero()
	s.lastContact, s.cutOffSince, s.suspected = now, time.Time{}, false
	if len(s.paths) > 0 {
		delete(s.paths, address)
	}
	return reconnected
}

// RecordAnswer is RecordContact for data that was read.
func (s *State) RecordAnswer(now time.Time, address string) (reconnected bool) {
	if !s.unansweredSince.IsZero() {
		s.answerTime += time.Duration(silenceWeight * float64(now.Sub(s.unansweredSince)-s.answerTime))
		s.unansweredSince = time.Time{}
	}
	return s.RecordContact(now, address)
}

// RecordSend records that something was written to a back end.
func (s *State) RecordSend(now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// RecordFailure records that no connection could be opened to an address; the attempt began at
// started.
func (s *State) RecordFailure(now time.Time, address string, started time.Time) {
	s.expirePaths(now)
	if _, found := s.paths[address]; !found && len(s.paths) < maxPaths {
		s.paths[address] = path{usedAt: now}
	}
	if s.lastContact.Before(started) {
		s.suspected = true
	}
}

// expirePaths forgets the failed paths that are not used.
func (s *State) expirePaths(now time.Time) {
	for address, known := range s.paths {
		if known.expired(now) {
			delete(s.paths, address)
		}
	}
}

// silent reports whether an answer is overdue on all connections.
func (s *State) silent(now time.Time) bool {
	if s.unansweredSince.IsZero() {
		return false
	}
	limit := min(max(silenceFactor*s.answerTime, minSilence), maxSilence)
	since := s.unansweredSince
	if s.lastContact.After(since) {
		since = s.lastContact
	}
	return now.Sub(since) >= limit
}

// DueChecks returns how many back ends to check now. If this daemon is not cut off, the checks make
// up a round, whose result is passed to RecordRound.
func (s *State) DueChecks(now time.Time) int {
	switch {
	case !s.cutOffSince.IsZero():
		if now.Sub(s.lastRound) < cutOffCheckInterval {
			return 0
		}
		s.lastRound = now
		return cutOffChecks
	case now.Sub(s.lastRound) < minRoundInterval, s.inconclusive && now.Sub(s.lastRound) < inconclusiveRoundInterval:
		return 0
	case s.suspected:
		s.lastRound = now
		return roundSize
	case s.silent(now):
		// One check is enough if it succeeds; a failure raises the suspicion that starts a round.
		s.lastRound = now
		return 1
	}
	return 0
}

// RecordRound records a round of checks that began at started, none of which reached a back end, and
// reports whether this daemon is cut off from now on. There may be fewer back ends to check than due.
func (s *State) RecordRound(now, started time.Time, due, checks int) (cutOff bool) {
	reached := !s.lastContact.Before(started)
	s.inconclusive = due == roundSize && checks < minRoundSize && !reached
	if due < roundSize || checks < minRoundSize || reached || !s.cutOffSince.IsZero() {
		return false
	}
	s.cutOffSince = now
	return true
}

// CutOffSince returns since when this daemon has been cut off from all back ends; zero: it is not.
func (s *State) CutOffSince() time.Time {
	return s.cutOffSince
}

// Direct reports whether a request to an address is sent there by this daemon itself, as opposed to
// through another daemon. It is called once for each request.
func (s *State) Direct(now time.Time, address string) bool {
	if !s.cutOffSince.IsZero() {
		return false
	}
	known, found := s.paths[address]
	if !found || known.expired(now) {
		return true
	}
	known.usedAt = now
	s.paths[address] = known
	return false
}

// Reaches reports whether this daemon reaches an address as far as it knows: it is not cut off, and no
// connection to the address has failed of late.
func (s *State) Reaches(address string) bool {
	_, failed := s.paths[address]
	return s.cutOffSince.IsZero() && !failed
}

// Bypassed reports whether it is the path of this daemon to an address that has failed, and not the back
// end: another daemon has reached the address since, or this one is cut off.
func (s *State) Bypassed(address string) bool {
	return !s.cutOffSince.IsZero() || s.paths[address].bypassed
}

// RecordBypass records whether another daemon reached an address for this one.
func (s *State) RecordBypass(address string, reached bool) {
	known, found := s.paths[address]
	if !found {
		return
	}
	s.sweepDue = s.sweepDue || reached && !known.bypassed
	known.bypassed = reached
	s.paths[address] = known
}

// DueSweep returns how many back ends to check now because several paths have failed.
func (s *State) DueSweep(now time.Time) int {
	if !s.sweepDue || !s.cutOffSince.IsZero() || now.Sub(s.lastSweep) < minSweepInterval || s.BypassedPaths() < minBypassedPaths {
		return 0
	}
	s.sweepDue, s.lastSweep = false, now
	return sweepSize
}

// BypassedPaths returns how many paths have failed whose back ends other daemons have reached since.
func (s *State) BypassedPaths() int {
	count := 0
	for _, known := range s.paths {
		if known.bypassed {
			count++
		}
	}
	return count
}

// DuePaths returns the addresses of the failed paths that are to be checked now, at most limit.
func (s *State) DuePaths(now time.Time, limit int) []string {
	if len(s.paths) == 0 || !s.cutOffSince.IsZero() {
		return nil
	}
	s.expirePaths(now)
	var due []string
	for address, known := range s.paths {
		if len(due) == limit {
			break
		}
		if now.Sub(known.checkedAt) >= pathCheckInterval {
			known.checkedAt = now
			s.paths[address] = known
			due = append(due, address)
		}
	}
	return due
}

// Credible reports whether this daemon's failure to reach a back end, in an attempt that began at
// started, says something about that back end: this daemon has had contact with others since, or
// just before.
func (s *State) Credible(started time.Time) bool {
	return s.cutOffSince.IsZero() && s.lastContact.After(started.Add(-contactAge))
}
