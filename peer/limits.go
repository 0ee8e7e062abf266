package peer

import (
	"time"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/peer/peerpb"
)

// Bounds of what is told of back ends that take fewer requests; one takes about 60 bytes.
const (
	// maxLimits bounds them in one message.
	maxLimits = 8
	// maxListedLimits bounds them in a list for a daemon that has just started.
	maxListedLimits = 512
	// maxLimitRumors bounds those that wait to be told. Who is not told hears of a limit with the
	// first answer of the back end.
	maxLimitRumors = 1024
)

// Limits is what a Node asks and tells of back ends that take fewer requests. No method blocks.
type Limits interface {
	// Take takes in what others tell, and returns what of it is news.
	Take(told []backendlimit.Word) []backendlimit.Word
	// Newest returns what others are to be told of a back end.
	Newest(backend backendlimit.Key) (backendlimit.Word, bool)
	// Words returns the limits that are in force, at most so many.
	Words(most int) []backendlimit.Word
}

// noLimits knows of none.
type noLimits struct{}

func (noLimits) Take([]backendlimit.Word) []backendlimit.Word { return nil }
func (noLimits) Newest(backendlimit.Key) (backendlimit.Word, bool) {
	return backendlimit.Word{}, false
}
func (noLimits) Words(int) []backendlimit.Word { return nil }

// TellLimit spreads what a back end says of how many requests it takes. The daemon that gives out the
// places of its service is told first. It does not block.
func (n *Node) TellLimit(word backendlimit.Word) {
	n.mutex.Lock()
	n.passOnLimit(word.Key)
	n.mutex.Unlock()
	n.tellDispatcher(word.Service)
}

// passOnLimit lets others be told of a back end. The caller holds the mutex.
func (n *Node) passOnLimit(key backendlimit.Key) {
	if len(n.limits) < maxLimitRumors {
		n.limits.add(key, time.Now())
	}
}

// takeLimits takes in what another daemon tells, and passes on what of it is news.
func (n *Node) takeLimits(told []*peerpb.BackendLimit) {
	if len(told) == 0 {
		return
	}
	news := n.options.Limits.Take(decodeLimits(told))
	if len(news) == 0 {
		return
	}
	n.mutex.Lock()
	for _, word := range news {
		n.passOnLimit(word.Key)
	}
	n.mutex.Unlock()
	n.spreadSoon()
}

// limitNews returns what is put into the next message. The caller holds the mutex.
func (n *Node) limitNews(fleet int) []*peerpb.BackendLimit {
	var words []backendlimit.Word
	for _, key := range n.limits.next(fleet, maxLimits) {
		if word, known := n.options.Limits.Newest(key); known {
			words = append(words, word)
		}
	}
	return encodeLimits(words)
}

func encodeLimits(words []backendlimit.Word) []*peerpb.BackendLimit {
	encoded := make([]*peerpb.BackendLimit, 0, len(words))
	for _, word := range words {
		encoded = append(encoded, &peerpb.BackendLimit{
			Service: word.Service, Backend: word.Backend, Limited: word.Limited, PerSecond: word.PerSecond, Started: word.Started, At: word.At.UnixMilli(),
		})
	}
	return encoded
}

func decodeLimits(encoded []*peerpb.BackendLimit) []backendlimit.Word {
	words := make([]backendlimit.Word, 0, len(encoded))
	for _, one := range encoded {
		words = append(words, backendlimit.Word{
			Key: backendlimit.Key{Service: one.Service, Backend: one.Backend}, Limit: backendlimit.Limit{Limited: one.Limited, PerSecond: one.PerSecond},
			Started: one.Started, At: time.UnixMilli(one.At),
		})
	}
	return words
}
