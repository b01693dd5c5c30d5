// Package listener describes the listeners that a node has beside its administration
// API: an address, and what each request there is called inside (design 10.1). It keeps
// no state; platform describes them, shell/web opens them.
package listener

import "fernlink/core/flow"

// Listener is one address and its routes. Rest names the calls that no route takes;
// "" refuses them with 404.
type Listener struct {
	Addr   string
	Routes []Route
	Rest   string
}

// Route is one route of a listener; {name} in Path becomes one of the call's
// Vars. Into turns the call into the product's own, and may answer it at once
// with a reply; Back turns each reply. Either may be nil.
type Route struct {
	Verb, Path, Name string
	Into             func(*flow.Call) *flow.Reply
	Back             func(flow.Reply) flow.Reply
}
