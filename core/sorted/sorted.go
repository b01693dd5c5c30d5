// Package sorted walks maps in order, so that cores stay deterministic
// (design 3.1). Its functions are pure, and any package may call them.
package sorted

import (
	"cmp"
	"slices"
)

// Keys gives a map's keys in order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
