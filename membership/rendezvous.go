package membership

import "github.com/cespare/xxhash/v2"

// Choose returns the count members that rank highest for a key by rendezvous
// hashing, best first. Daemons with the same view choose alike without asking
// each other, and a member that comes or goes moves only its own keys.
func Choose(members []Member, key string, count int) []Member {
	ranked := make([]Member, 0, count)
	hashes := make([]uint64, 0, count)
	for _, member := range members {
		hash := xxhash.Sum64String(key + "\x00" + member.Name)
		place := len(ranked)
		for place > 0 && hash > hashes[place-1] {
			place--
		}
		if place >= count {
			continue
		}
		if len(ranked) < count {
			ranked, hashes = append(ranked, Member{}), append(hashes, 0)
		}
		copy(ranked[place+1:], ranked[place:])
		copy(hashes[place+1:], hashes[place:])
		ranked[place], hashes[place] = member, hash
	}
	return ranked
}
