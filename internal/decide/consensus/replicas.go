package consensus

import "slices"

// The constants of SplitMix64 (G. Steele, D. Lea and C. Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
const (
	splitMixGamma  = 0x9e3779b97f4a7c15
	splitMixFirst  = 0xbf58476d1ce4e5b9
	splitMixSecond = 0x94d049bb133111eb
)

// Replicas returns the count members that replicate a key: those with the highest weights of key and member, highest
// first (D. Thaler and C. Ravishankar, rendezvous hashing, 1998). Adding or removing a member therefore moves only the
// keys that it replicates. The weight is the hash of the key mixed with the ID of the member.
func Replicas(key string, members []Identity, count int, hash func(string) uint64) []Identity {
	type candidate struct {
		member Identity
		weight uint64
	}
	best := make([]candidate, 0, count+1)
	keyHash := hash(key)
	for _, member := range members {
		added := candidate{member, mix(keyHash + uint64(member.ID)*splitMixGamma)}
		index := len(best)
		for index > 0 {
			previous := best[index-1]
			if previous.weight > added.weight || previous.weight == added.weight && previous.member.ID <= member.ID {
				break
			}
			index--
		}
		if index < count {
			best = slices.Insert(best, index, added)
			best = best[:min(len(best), count)]
		}
	}
	replicas := make([]Identity, len(best))
	for i, c := range best {
		replicas[i] = c.member
	}
	return replicas
}

// mix is the output function of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * splitMixFirst
	x = (x ^ x>>27) * splitMixSecond
	return x ^ x>>31
}
