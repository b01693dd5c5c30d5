// Package field knows which headers concern one connection only and so pass no
// further (design 7.3). Its functions are pure; shell/web and shell/outcall call them.
package field

import (
	"net/textproto"
	"strings"
)

var hops = map[string]bool{"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Upgrade": true, "Te": true, "Trailer": true}

// Hop says whether a header in its canonical spelling concerns one connection.
func Hop(name string) bool { return hops[name] || strings.HasPrefix(name, "Proxy-") }

// Named lists what a Connection header names beside its options: these concern
// one connection too.
func Named(value string) []string {
	var out []string
	for _, w := range strings.Split(value, ",") {
		w = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(w))
		if w != "" && w != "Close" && w != "Keep-Alive" {
			out = append(out, w)
		}
	}
	return out
}
