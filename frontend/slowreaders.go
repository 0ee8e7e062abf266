package frontend

import (
	"slices"
	"sync"
)

// slowWrite is a write of a response that its caller does not take; see httpcopy.SlowWrite.
type slowWrite interface {
	OccupiesServer() bool
	Abort()
}

// slowReaders bounds how many back-end slots of each service are occupied by responses that callers do not take, while capacity
// is short. If there are more of them, the oldest is broken off.
type slowReaders struct {
	mutex    sync.Mutex
	services map[string][]slowWrite // oldest first
}

// slowReaderShare is the part of the usable slots of a service that such responses may occupy, together with uploads.
const slowReaderShare = 0.5

// add adds a response of a service that its caller does not take. The function that it returns removes it.
func (s *slowReaders) add(service string, write slowWrite) (remove func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.services == nil {
		s.services = make(map[string][]slowWrite)
	}
	s.services[service] = append(s.services[service], write)
	return func() { s.remove(service, write) }
}

// any reports whether there are responses of a service that callers do not take.
func (s *slowReaders) any(service string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.services[service]) > 0
}

// enforce breaks off responses of a service beyond limit.
func (s *slowReaders) enforce(service string, limit int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	occupying := slices.DeleteFunc(s.services[service], func(each slowWrite) bool { return !each.OccupiesServer() })
	for len(occupying) > limit {
		occupying[0].Abort()
		occupying = occupying[1:]
	}
	s.replace(service, occupying)
}

func (s *slowReaders) replace(service string, writes []slowWrite) {
	if len(writes) == 0 {
		delete(s.services, service)
		return
	}
	s.services[service] = writes
}

func (s *slowReaders) remove(service string, removed slowWrite) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replace(service, slices.DeleteFunc(s.services[service], func(each slowWrite) bool { return each == removed }))
}
