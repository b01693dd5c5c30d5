// Package door describes the doors that a node has beside its administration
// API: an address, and what each request there is called inside (design 10.1).
package door

import "fernlink/core/flow"

// Door is one address and its routes. Rest names the calls that no route takes;
// "" refuses them with 404.
type Door struct {
	Addr   string
	Routes []DoorRoute
	Rest   string
}

// DoorRoute is one route of a door; {name} in Path becomes one of the call's
// Vars. Into turns the call into the product's own, and may answer it at once
// with a reply; Back turns each reply. Either may be nil.
type DoorRoute struct {
	Verb, Path, Name string
	Into             func(*flow.Call) *flow.Reply
	Back             func(flow.Reply) flow.Reply
}
