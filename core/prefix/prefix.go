// Package prefix cuts prompts into blocks and names each block by the hash of
// everything up to its end (design 9.1), so equal names mean equal prefixes. Its
// functions are pure; placement and the index call them.
package prefix

import (
	"hash/fnv"
	"strconv"
)

// Bytes is the size of a block of prompt text.
const Bytes = 64

// Blocks names the whole blocks of a text.
func Blocks(text string) []string {
	h := fnv.New128a()
	out := make([]string, 0, len(text)/Bytes)
	for i := 0; i+Bytes <= len(text); i += Bytes {
		_, _ = h.Write([]byte(text[i : i+Bytes]))
		sum := h.Sum(nil)
		out = append(out, string(appendHex(nil, sum[:12])))
	}
	return out
}

func appendHex(out, in []byte) []byte {
	const digits = "0123456789abcdef"
	for _, b := range in {
		out = append(out, digits[b>>4], digits[b&15])
	}
	return out
}

// Weight is the rendezvous weight of one seat for one name.
func Weight(name, seat string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(seat))
	x := h.Sum64()
	// FNV alone is weak in its high bits for short names; finish the mix.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Name joins a step's group for rendezvous.
func Name(step, group string, sample int) string {
	return step + "/" + group + "/" + strconv.Itoa(sample)
}
