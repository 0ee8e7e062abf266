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

// gossipOfLimits is what daemons tell each other of back ends that take fewer requests.
func gossipOfLimits(known Limits) gossip[backendlimit.Key, backendlimit.Word] {
	return gossip[backendlimit.Key, backendlimit.Word]{
		rumors: make(rumors[backendlimit.Key]), most: maxLimits, waiting: maxLimitRumors,
		key: func(word backendlimit.Word) backendlimit.Key { return word.Key }, newest: known.Newest, take: known.Take,
	}
}

// TellLimit spreads what a back end says of how many requests it takes.
func (n *Node) TellLimit(word backendlimit.Word) {
	tell(n, &n.limits, word.Key, word.Service)
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
