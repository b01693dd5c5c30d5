package sim

import (
	"bytes"
	"net/http"
	"slices"
	"sort"

	"github.com/go-json-experiment/json/v1"
)

// verb is how a configuration is sent: whole, or as a change of named items.
func (c *siteConfig) verb() string {
	if c.patch {
		return http.MethodPatch
	}
	return http.MethodPut
}

// patchBody is the change that makes a configuration of the routes that it was made from.
func (s *Site) patchBody(from []siteRoute, c *siteConfig) []byte {
	s.Count["configs sent as changes"]++
	var whole struct{ RouteTable []json.RawMessage }
	_ = json.Unmarshal(s.body(c), &whole)
	upsert, remove := []json.RawMessage{}, []string{}
	for at, r := range c.Routes {
		if !slices.ContainsFunc(from, func(x siteRoute) bool { return sameRoute(x, r) }) {
			upsert = append(upsert, whole.RouteTable[at])
		}
	}
	for _, old := range from {
		if !slices.ContainsFunc(c.Routes, func(x siteRoute) bool { return x.Name == old.Name }) {
			remove = append(remove, old.Name)
		}
	}
	b, _ := json.Marshal(map[string]any{"Revision": c.Rev, "Upsert": map[string]any{"RouteTable": upsert}, "Remove": map[string]any{"RouteTable": remove}})
	return b
}

func sameRoute(a, b siteRoute) bool {
	return a.Name == b.Name && a.Host == b.Host && a.Path == b.Path && a.Kind == b.Kind && slices.Equal(a.Pools, b.Pools) && a.Resumable == b.Resumable
}

// sameConfig says whether two configurations say the same, whatever the order of their
// routes and of the fields of each.
func sameConfig(a, b []byte) bool {
	return bytes.Equal(ordered(a), ordered(b))
}

func ordered(config []byte) []byte {
	var doc map[string]any
	if json.Unmarshal(config, &doc) != nil {
		return config
	}
	if routes, ok := doc["RouteTable"].([]any); ok {
		label := func(at int) string {
			route, _ := routes[at].(map[string]any)
			name, _ := route["Label"].(string)
			return name
		}
		sort.SliceStable(routes, func(a, b int) bool { return label(a) < label(b) })
	}
	text, _ := json.Marshal(doc) // fields go by their names
	return text
}
