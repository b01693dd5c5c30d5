// Package config reads and checks the config of one node (design 1): a JSON file, flags
// over it, the schema, then what the schema can't say. It owns no state; cmd/fernlink and
// platform read a config, shell/daemon builds a node from it.
package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"fernlink/api"
	"fernlink/core/coord"
	"fernlink/core/ledger"
	"fernlink/core/ledger/keys"
)

//go:embed schema.json
var schema []byte

// Config is what a process is told at its start.
type Config struct {
	Addr     string   `json:"addr"`
	Web      string   `json:"web"`
	Zone     string   `json:"zone"`
	Seeds    []string `json:"seeds"`
	Roles    []string `json:"roles"`
	Data     string   `json:"data,omitempty"`
	Platform string   `json:"platform,omitempty"`
	Form     []string `json:"form,omitempty"`
	Keep     int      `json:"keep_entries,omitempty"`
	Blocks   int      `json:"blocks_most,omitempty"`
	Keys     int      `json:"keys_most,omitempty"`
	KeyHours int      `json:"key_hours,omitempty"`
	Answers  int64    `json:"answer_bytes,omitempty"`
	Minutes  int      `json:"result_minutes,omitempty"`
	Results  int64    `json:"result_bytes,omitempty"`
	Open     int      `json:"open_steps,omitempty"`
	Stop     int      `json:"stop_seconds,omitempty"`
	Listen   string   `json:"listen,omitempty"`
	Off      []string `json:"policies_off,omitempty"`
	LogLevel string   `json:"log_level,omitempty"` // error, warn, info or debug; "" is info

	Name       string            `json:"name,omitempty"`
	Front      string            `json:"front,omitempty"`       // callers' listener
	Ready      string            `json:"ready,omitempty"`       // where this node says whether it takes callers
	Control    string            `json:"control,omitempty"`     // operators' listener
	FirstStart bool              `json:"first_start,omitempty"` // of the whole fleet, with empty disks
	Counted    bool              `json:"counted,omitempty"`     // one of the machines that CoreLosses counts
	CoreLosses int               `json:"core_losses,omitempty"` // machines that may be lost at once
	CPUShare   float64           `json:"cpu_share,omitempty"`   // of a core
	MemoryMB   int               `json:"memory_mb,omitempty"`
	Files      int               `json:"fds,omitempty"`
	DiskMB     int               `json:"disk_mb,omitempty"`
	LinkMbps   float64           `json:"link_mbps,omitempty"`
	ListRate   float64           `json:"list_rate,omitempty"`   // reads of the platform list a second, of all nodes together
	ListLagMS  int               `json:"list_lag_ms,omitempty"` // how old that list may be
	Region     string            `json:"region,omitempty"`
	Zones      map[string]string `json:"zones,omitempty"` // each zone's region
	Times      *Times            `json:"bounds,omitempty"`
}

// Times are what the place that a node runs at asks of it, in milliseconds; 0
// is one that it does not name.
type Times struct {
	Apply   int `json:"apply_ms,omitempty"`    // a plan is in force everywhere
	Revert  int `json:"revert_ms,omitempty"`   // no older plan is in force again
	Drain   int `json:"drain_ms,omitempty"`    // an engine that is to leave still serves
	Contact int `json:"contact_ms,omitempty"`  // for how long a caller of the control side looks for it
	Ack     int `json:"ack_ms,omitempty"`      // an order is answered
	Recover int `json:"recover_ms,omitempty"`  // all is well again after a fault
	Sync    int `json:"sync_ms,omitempty"`     // a machine that is back counts as lost
	Grace   int `json:"grace_ms,omitempty"`    // between the word to stop and the end
	Cancel  int `json:"cancel_ms,omitempty"`   // work that nobody waits for is over
	Settle  int `json:"settle_ms,omitempty"`   // what was done can be read
	Lease   int `json:"lease_ms,omitempty"`    // a place is held
	Thaw    int `json:"thaw_ms,omitempty"`     // a machine that wakes may act on what it knew
	Finish  int `json:"finish_ms,omitempty"`   // open lots after the last caller
	Report  int `json:"report_ms,omitempty"`   // results stay readable
	Pass    int `json:"pass_ms,omitempty"`     // bytes may wait on their way through
	Reuse   int `json:"reuse_ms,omitempty"`    // an engine's address may be another's
	SeedLag int `json:"seed_lag_ms,omitempty"` // the list of seeds is behind
}

// Defaults where the config does not say.
const (
	Keep   = 4096
	Blocks = 65536
)

// Bounds are what a store keeps, with the usual ones where the config does not say.
func (p Config) Bounds() ledger.Bounds {
	bounds := ledger.Usual
	for _, x := range []struct {
		has bool
		set func()
	}{
		{p.Keys > 0, func() { bounds.Keys = p.Keys }},
		{p.KeyHours > 0, func() { bounds.KeyAge = int64(p.KeyHours) * 3600 * 1000 }},
		{p.Answers > 0, func() { bounds.Answers = p.Answers }},
		{p.Minutes > 0, func() { bounds.Age = int64(p.Minutes) * 60 * 1000 }},
		{p.Results > 0, func() { bounds.Bytes = p.Results }},
		{p.Open > 0, func() { bounds.Open = p.Open }},
		{p.DiskMB > 0, func() { bounds.LotBytes = ledger.LotBytesOf(p.DiskMB) }},
	} {
		if x.has {
			x.set()
		}
	}
	return bounds
}

// ErrRead says that the config file can't be read at all.
var ErrRead = errors.New("config: can't read the file")

// Read takes a file, which may be "" for none, and what flags say over it.
func Read(path string, flags map[string]any) (Config, []ledger.Fault, error) {
	doc := map[string]any{}
	if path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return Config{}, nil, errors.Wrap(ErrRead, err.Error())
		}
		if err := json.Unmarshal(b, &doc); err != nil {
			return Config{}, nil, errors.Wrapf(ErrRead, "%s: %v", path, err)
		}
	}
	renameZoneKey(doc)
	for k, v := range flags {
		doc[k] = v
	}
	b, err := json.Marshal(doc)
	if err != nil {
		return Config{}, nil, errors.Wrap(ErrRead, err.Error())
	}
	return Check(b)
}

// oldZoneKey is the key of the zone in config files of earlier builds; it is
// still read.
const oldZoneKey = "area"

// renameZoneKey gives the zone its present key. Where both keys are set, the old
// one stays and the schema refuses it.
func renameZoneKey(doc map[string]any) {
	zone, found := doc[oldZoneKey]
	if !found {
		return
	}
	if _, both := doc["zone"]; both {
		return
	}
	doc["zone"] = zone
	delete(doc, oldZoneKey)
}

// compiled is the schema, made when it is first asked for.
var compiled = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		panic(err) // the schema is part of the build
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("fernlink://config/schema.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("fernlink://config/schema.json")
})

// Check checks config by schema, then by meaning, and lists every fault.
func Check(raw []byte) (Config, []ledger.Fault, error) {
	var config Config
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return config, nil, errors.Wrap(ErrRead, "not JSON")
	}
	if fields, ok := doc.(map[string]any); ok {
		renameZoneKey(fields)
	}
	if bad := api.Faults(compiled().Validate(doc)); len(bad) > 0 {
		return config, bad, nil
	}
	if raw, err = json.Marshal(doc); err != nil {
		return config, nil, errors.Wrap(ErrRead, err.Error())
	}
	if err := json.Unmarshal(raw, &config); err != nil {
		return config, nil, errors.Wrap(ErrRead, err.Error())
	}
	if config.Keep == 0 {
		config.Keep = Keep
	}
	if config.Blocks == 0 {
		config.Blocks = Blocks
	}
	return config, config.meaning(), nil
}

// meaning checks what the schema can't say.
func (p Config) meaning() []ledger.Fault {
	var check configCheck
	check.addresses(p)
	check.roles(p)
	check.bounds(p.Bounds())
	for _, name := range coord.Check(p.Off) {
		check.fault("/policies_off", "no policy "+strconv.Quote(name))
	}
	return check.faults
}

// configCheck gathers a config's faults.
type configCheck struct{ faults []ledger.Fault }

func (c *configCheck) fault(at, text string) {
	c.faults = append(c.faults, ledger.Fault{At: at, Text: text})
}

func (c *configCheck) address(at, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.fault(at, "not an IP number and port")
	}
}

func (c *configCheck) addresses(config Config) {
	c.address("/addr", config.Addr)
	c.address("/web", config.Web)
	for _, optional := range []struct{ at, addr string }{
		{"/listen", config.Listen}, {"/front", config.Front}, {"/ready", config.Ready}, {"/control", config.Control},
	} {
		if optional.addr != "" {
			c.address(optional.at, optional.addr)
		}
	}
	for i, addr := range config.Seeds {
		c.address("/seeds/"+strconv.Itoa(i), addr)
	}
	for i, addr := range config.Form {
		c.address("/form/"+strconv.Itoa(i), addr)
	}
	if config.Addr == config.Web {
		c.fault("/web", "is the same as /addr")
	}
}

func (c *configCheck) roles(config Config) {
	isStore := slices.Contains(config.Roles, "store")
	if isStore && config.Data == "" {
		c.fault("/data", "a store needs a data folder")
	}
	if slices.Contains(config.Roles, "dispatcher") && config.Platform == "" {
		c.fault("/platform", "a dispatcher needs the platform list")
	}
	if len(config.Form) == 0 {
		return
	}
	if !slices.Contains(config.Form, config.Addr) {
		c.fault("/form", "does not name this node's own address")
	}
	if !isStore {
		c.fault("/form", "only a store forms a cluster")
	}
	if len(config.Form)%2 == 0 {
		c.fault("/form", "an even number of voters survives no more than one less")
	}
}

func (c *configCheck) bounds(bounds ledger.Bounds) {
	if bounds.Keys < 2*keys.PageRows {
		c.fault("/keys_most", "keys are forgotten by pages of "+strconv.Itoa(keys.PageRows)+"; there must be room for two")
	}
	if bounds.Age > bounds.KeyAge {
		c.fault("/result_minutes", "results would be kept for longer than the id of their step (key_hours)")
	}
	if bounds.Open > ledger.KeepOpen {
		c.fault("/open_steps", "more than all trainers together may open ("+strconv.Itoa(ledger.KeepOpen)+")")
	}
}
