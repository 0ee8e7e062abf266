package membership

import "github.com/cespare/xxhash/v2"

// Choose returns the count members that rank highest for a key by rendezvous
// hashing, best first. Daemons with the same view choose the same members without
// communication, and a member that joins or leaves moves only its own keys.
func Choose(members []Member, key string, count int) []Member {
	ranked := make([]Member, 0, count)
	hashes := make([]uint64, 0, count)
	for _, member := range members {
		hash := xxhash.Sum64String(key + "\x00" + member.Name)
		position := len(ranked)
		for position > 0 && hash > hashes[position-1] {
			position--
		}
		if position >= count {
			continue
		}
		if len(ranked) < count {
			ranked, hashes = append(ranked, Member{}), append(hashes, 0)
		}
		copy(ranked[position+1:], ranked[position:])
		copy(hashes[position+1:], hashes[position:])
		ranked[position], hashes[position] = member, hash
	}
	return ranked
}
