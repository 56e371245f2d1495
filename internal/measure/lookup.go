package main

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// lookup compares Chord# (Schütt, Schintke, Reinefeld, "Chord#: Structured
// Overlay Network for Non-Uniform Load-Distribution", 2005) with full membership
// and rendezvous hashing, for finding the owner of a key.
//
// In Chord# a node's pointer i leads to the node 2^i positions further on the ring.
// Pointer 0 leads to the node's successor. To get pointer i+1, a node follows its
// pointer i, and takes over pointer i of the node there.
func lookup(seed uint64) []*table {
	t := &table{
		title:       "Finding the owner of a key",
		description: fmt.Sprintf("10,000 keys from random nodes; a hop is a message between data centres, taken as 1 ms within a region; seed %d.", seed),
		columns:     []string{"nodes", "way", "mean hops", "most hops", "entries a node", "messages when a node is replaced"},
	}
	for _, n := range []int{7, 39, 750} {
		mean, most := chordHops(n, rand.New(rand.NewPCG(seed, 99)))
		pointers := int(math.Ceil(math.Log2(float64(n))))
		t.addRow(n, "Chord#", mean, most, pointers, pointers*2)
		t.addRow(n, "full membership, rendezvous", 1.0, 1, n, n-1)
		t.addRow(n, "addresses carried in the ticket", 1.0, 1, 0, 0)
	}
	return []*table{t}
}

// chordHops returns the mean and the maximum number of hops
// over random lookups in a Chord# ring of n nodes.
func chordHops(n int, r *rand.Rand) (mean float64, most int) {
	const keys = 10_000
	total := 0
	for range keys {
		from, to := r.IntN(n), r.IntN(n)
		hops := 0
		for left := (to - from + n) % n; left > 0; {
			// Follow the longest pointer that does not pass the owner of the key.
			left -= 1 << int(math.Log2(float64(left)))
			hops++
		}
		total += hops
		most = max(most, hops)
	}
	return float64(total) / keys, most
}
