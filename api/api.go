// Package api is the one shared schema (design 10.1), which requests are checked by, and
// the documents that it describes. It keeps no state; core/disp and core/serve check
// plans, steps and puts by it, shell/web serves the schema, cmd/fernlink reads plans.
package api

import (
	"bytes"
	_ "embed"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"fernlink/core/ledger"
)

//go:embed schema.json
var Schema []byte

// ErrJSON says that an input is not JSON at all.
var ErrJSON = errors.New("api: not JSON")

// schemas are the definitions that are asked for, each made once: compiling all
// at the start costs every process more than it holds afterwards.
var schemas sync.Map

// schema gives one definition of the shared schema.
func schema(name string) *jsonschema.Schema {
	if s, ok := schemas.Load(name); ok {
		return s.(*jsonschema.Schema)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(err) // the schema is part of the build
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("fernlink://api/schema.json", doc); err != nil {
		panic(err)
	}
	s := c.MustCompile("fernlink://api/schema.json#/$defs/" + name)
	schemas.Store(name, s)
	return s
}

// Check reads body as the named definition. It gives every fault it finds,
// or ErrJSON, and fills into only when there is none.
func Check(def string, body []byte, into any) ([]ledger.Fault, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(body))
	if err != nil {
		return nil, ErrJSON
	}
	if bad := Faults(schema(def).Validate(doc)); len(bad) > 0 {
		return bad, nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return []ledger.Fault{{At: "", Text: err.Error()}}, nil
	}
	return nil, nil
}

// Faults lists what a validation found, each at its JSON pointer.
func Faults(err error) []ledger.Fault {
	if err == nil {
		return nil
	}
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return []ledger.Fault{{Text: err.Error()}}
	}
	var out []ledger.Fault
	leaves(v, &out)
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out
}

// NoField is the fault of a field that the schema does not know.
const NoField = "no such field"

var plain = message.NewPrinter(language.English)

func leaves(failure *jsonschema.ValidationError, faults *[]ledger.Fault) {
	if len(failure.Causes) == 0 {
		at := pointer(failure.InstanceLocation)
		if k, ok := failure.ErrorKind.(*kind.AdditionalProperties); ok {
			for _, p := range k.Properties {
				*faults = append(*faults, ledger.Fault{At: at + "/" + escape(p), Text: NoField})
			}
			return
		}
		*faults = append(*faults, ledger.Fault{At: at, Text: failure.ErrorKind.LocalizedString(plain)})
		return
	}
	for _, c := range failure.Causes {
		leaves(c, faults)
	}
}

func escape(s string) string { return strings.NewReplacer("~", "~0", "/", "~1").Replace(s) }

func pointer(path []string) string {
	var b strings.Builder
	for _, p := range path {
		b.WriteString("/" + escape(p))
	}
	return b.String()
}

// Pool, Route, Pin and Plan are a service plan as it is used.
type Pool struct {
	Name string  `json:"name"`
	Kind string  `json:"kind"`
	Keep float64 `json:"keep_share"`

	Health   string   `json:"health,omitempty"`    // the path that tells whether an engine is well
	Conns    int      `json:"conns,omitempty"`     // connections to one engine
	Slots    int      `json:"slots,omitempty"`     // requests that one engine runs at once
	KvTokens int      `json:"kv_tokens,omitempty"` // tokens of memory that one engine has
	Models   []string `json:"models,omitempty"`    // each with weights of its own
}

// Share is a pool's part of a route's requests.
type Share struct {
	Pool  string `json:"pool"`
	Share int    `json:"share"`
}

type Route struct {
	Name    string   `json:"name"`
	Path    string   `json:"path"`
	Verbs   []string `json:"verbs"`
	Pool    string   `json:"pool"`
	Once    bool     `json:"once"`
	Timeout int      `json:"timeout_ms"`
	Most    int      `json:"most"`

	// A route with a host serves that host alone and is matched elsewhere.
	Host      string  `json:"host,omitempty"`
	Kind      string  `json:"kind,omitempty"` // again, once, stream or samples
	Split     []Share `json:"split,omitempty"`
	Tries     int     `json:"tries,omitempty"`
	TargetMS  int     `json:"target_ms,omitempty"`
	Rank      int     `json:"rank,omitempty"`
	DueMS     int     `json:"due_ms,omitempty"`
	WaitMS    int     `json:"wait_ms,omitempty"`
	Single    bool    `json:"one_version,omitempty"`
	Sticky    bool    `json:"sticky,omitempty"`
	Resumable bool    `json:"resumable,omitempty"`
}

// Limits bound what callers send, in bytes and milliseconds; 0 is the usual.
type Limits struct {
	HeaderBytes int `json:"header_bytes,omitempty"`
	BodyBytes   int `json:"body_bytes,omitempty"`
	HeaderMS    int `json:"header_ms,omitempty"`
	IdleMS      int `json:"idle_ms,omitempty"`
}

type Pin struct {
	Pool   string `json:"pool"`
	Prefix string `json:"prefix"`
}

type Plan struct {
	Pools     []Pool  `json:"pools"`
	Routes    []Route `json:"routes"`
	Pins      []Pin   `json:"pins"`
	Placement string  `json:"placement"`

	Limits *Limits         `json:"limits,omitempty"`
	Source json.RawMessage `json:"source,omitempty"` // what it was made from

	byPath map[string][]int32 // routes by path, in their order
}

// Index makes matching fast; a plan is matched only after it.
func (p *Plan) Index() {
	p.byPath = make(map[string][]int32, len(p.Routes))
	for i, r := range p.Routes {
		if r.Host != "" {
			continue
		}
		at := strings.TrimSuffix(r.Path, "/")
		p.byPath[at] = append(p.byPath[at], int32(i))
	}
}

// PlanPut is a whole new plan made from the version Read. Version is its own,
// or 0 for the next.
type PlanPut struct {
	Version uint64          `json:"version,omitempty"`
	Read    uint64          `json:"read"`
	Request string          `json:"request"`
	Plan    json.RawMessage `json:"plan"`
}

// Defaults of a route.
const (
	RouteTimeout = 2000
	RouteMost    = 64
)

// MostMS is the longest time in milliseconds that a plan's times count for: what is longer
// is taken and counts as that, since nothing lasts as long.
const MostMS = 30 * 24 * 3600 * 1000

// Serves says whether a route takes this request, whatever its host.
func (r Route) Serves(verb, path string) bool {
	if !under(r.Path, path) {
		return false
	}
	if len(r.Verbs) == 0 {
		return true
	}
	for _, v := range r.Verbs {
		if v == verb {
			return true
		}
	}
	return false
}

func under(base, path string) bool {
	base = strings.TrimSuffix(base, "/")
	return path == base || strings.HasPrefix(path, base+"/")
}

// Find gives the route that takes a request: the longest path wins, then the
// earlier one.
func (p *Plan) Find(verb, path string) *Route {
	for at := path; ; at = at[:strings.LastIndexByte(at, '/')] {
		var best *Route
		for _, i := range p.byPath[at] {
			r := &p.Routes[i]
			if r.Serves(verb, path) && (best == nil || len(r.Path) > len(best.Path)) {
				best = r
			}
		}
		if best != nil || !strings.Contains(at, "/") {
			return best
		}
	}
}

// Pool gives a pool by name.
func (p *Plan) Pool(name string) *Pool {
	for i := range p.Pools {
		if p.Pools[i].Name == name {
			return &p.Pools[i]
		}
	}
	return nil
}

// Names says whether a pool of the plan has weights under a name: a model pool's
// own, or that of a model which a pool lists.
func (p *Plan) Names(name string) bool {
	for _, x := range p.Pools {
		if x.Name == name && x.Kind == "model" || slices.Contains(x.Models, name) {
			return true
		}
	}
	return false
}

// hosted checks a route with a host.
func (r Route) hosted(pools map[string]*Pool, seen map[[2]string]bool, bad func(field, text string, a ...any)) {
	if k := [2]string{r.Host, r.Path}; seen[k] {
		bad("/path", "host %q has this path twice", r.Host)
	} else {
		seen[k] = true
	}
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
		bad("/path", "must begin and end with a slash")
	}
	if r.Kind == "" {
		bad("/kind", "a route with a host needs a kind")
	}
	if r.Timeout <= 0 {
		bad("/timeout_ms", "a route with a host needs a time-out")
	}
	if pools[r.Pool] == nil {
		bad("/pool", "no pool %q in this plan", r.Pool)
	}
	sum := 0
	for i, x := range r.Split {
		if pools[x.Pool] == nil {
			bad("/split/"+strconv.Itoa(i)+"/pool", "no pool %q in this plan", x.Pool)
		}
		sum += x.Share
	}
	if len(r.Split) > 0 && sum == 0 {
		bad("/split", "the shares add up to 0")
	}
}

// Meaning checks what a schema can't say (design 6.1). policies are the
// placement policies that exist.
func (p *Plan) Meaning(policies []string) []ledger.Fault {
	check := planCheck{pools: make(map[string]*Pool, len(p.Pools)), names: map[string]bool{}, taken: map[string]bool{}, hosts: map[[2]string]bool{}}
	for i := range p.Pools {
		check.pool("/pools/"+strconv.Itoa(i), &p.Pools[i])
	}
	for i, route := range p.Routes {
		check.route("/routes/"+strconv.Itoa(i), route)
	}
	for i, pin := range p.Pins {
		if pool := check.pools[pin.Pool]; pool == nil || pool.Kind != "model" {
			check.fault("/pins/"+strconv.Itoa(i)+"/pool", "no model pool %q in this plan", pin.Pool)
		}
	}
	if p.Placement != "" && !slices.Contains(policies, p.Placement) {
		check.fault("/placement", "no placement policy %q; there are %s", p.Placement, strings.Join(policies, ", "))
	}
	return check.faults
}

// planCheck gathers a plan's faults and what of it was seen so far.
type planCheck struct {
	faults []ledger.Fault
	pools  map[string]*Pool
	names  map[string]bool    // of routes
	taken  map[string]bool    // a verb and a path
	hosts  map[[2]string]bool // of routes with a host
}

func (c *planCheck) fault(at, text string, args ...any) {
	c.faults = append(c.faults, ledger.Fault{At: at, Text: fmt.Sprintf(text, args...)})
}

func (c *planCheck) pool(at string, pool *Pool) {
	if c.pools[pool.Name] != nil {
		c.fault(at+"/name", "pool %q is named twice", pool.Name)
	} else {
		c.pools[pool.Name] = pool
	}
	if pool.Kind == "app" && pool.Keep != 0 {
		c.fault(at+"/keep_share", "only model pools roll weights out")
	}
}

func (c *planCheck) route(at string, route Route) {
	if c.names[route.Name] {
		c.fault(at+"/name", "route %q is named twice", route.Name)
	}
	c.names[route.Name] = true
	if route.Host != "" {
		route.hosted(c.pools, c.hosts, func(field, text string, args ...any) { c.fault(at+field, text, args...) })
		return
	}
	pool := c.pools[route.Pool]
	if pool == nil {
		c.fault(at+"/pool", "no pool %q in this plan", route.Pool)
	} else if pool.Kind != "app" {
		c.fault(at+"/pool", "pool %q serves steps, not routes", route.Pool)
	}
	if under("/v1", route.Path) || under(route.Path, "/v1") {
		c.fault(at+"/path", "would hide or be hidden by the administration API")
	}
	if !c.take(route) {
		c.fault(at, "is shadowed by earlier routes on the same path")
	}
}

// allVerbs are the verbs of a route that names none.
var allVerbs = []string{"GET", "POST", "PUT", "DELETE", "PATCH"}

// take notes a route's verbs on its path, and says whether any was left.
func (c *planCheck) take(route Route) bool {
	path := strings.TrimSuffix(route.Path, "/")
	verbs := route.Verbs
	if len(verbs) == 0 {
		verbs = allVerbs
	}
	left := false
	for _, verb := range verbs {
		if !c.taken[verb+" "+path] {
			c.taken[verb+" "+path] = true
			left = true
		}
	}
	return left
}
