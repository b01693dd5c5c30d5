package site

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
)

// Report is what a day came to.
type Report struct {
	Day     string   `json:"day"`
	Ready   float64  `json:"seconds_to_the_first_configuration"`
	Asked   int      `json:"asked"`
	Served  int      `json:"served"`
	Texts   int      `json:"streams"`
	Lots    int      `json:"lots"`
	Whole   int      `json:"lots_read_whole"`
	Items   int      `json:"results"`
	Version int      `json:"weights"`
	Broken  int      `json:"answers_that_engines_broke_off"`
	Wrong   []string `json:"wrong,omitempty"`
}

const host = "rollouts.example"

// day drives one site.
type day struct {
	*site
	rep    Report
	ids    atomic.Int64
	config int
	odd    string   // a field that no page names, in the next configuration
	many   int      // routes of further hosts that configurations have besides
	extra  []string // routes for lots that configurations have besides
	body   []byte
	client *http.Client

	refusedIDs sync.Map // run-once requests that were told that they did not run
}

// newDay makes the clients of a site, which follow nothing and keep no connection.
func newDay(site *site) *day {
	return &day{site: site, client: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (d *day) id(kind string) string { return fmt.Sprintf("%s%08x", kind, d.ids.Add(1)) }

// ask makes one call on a connection of its own.
func (d *day) ask(verb, url, host string, head map[string]string, body []byte, most time.Duration) (int, http.Header, []byte, error) {
	return d.askWith(verb, url, host, head, bytes.NewReader(body), most)
}

// bodyOf is a body whose length is told, or one that goes in chunks.
func bodyOf(text string, inChunks bool) io.Reader {
	if inChunks {
		return chunked{strings.NewReader(text)}
	}
	return strings.NewReader(text)
}

// askWith is ask with any body.
func (d *day) askWith(verb, url, host string, head map[string]string, body io.Reader, most time.Duration) (int, http.Header, []byte, error) {
	request, err := http.NewRequest(verb, url, body)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "site")
	}
	request.Host, request.Close = host, true
	for k, v := range head {
		request.Header.Set(k, v)
	}
	c := *d.client
	c.Timeout = most
	x, err := c.Do(request)
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "site")
	}
	defer x.Body.Close()
	b, err := io.ReadAll(x.Body)
	return x.StatusCode, x.Header, b, errors.Wrap(err, "site")
}

func (d *day) plan(rev int, book string) []byte {
	pools := []any{}
	for _, p := range []string{"app", "other", "llm"} {
		x := map[string]any{"Label": p, "HealthPath": "/health", "MaxConns": 160, "Protocol": "h1", "Tls": false}
		if p == "llm" {
			x["Engine"] = map[string]any{"Capacity": 8, "KvCapacity": 90000, "Models": []any{map[string]any{"Label": model}}}
		}
		pools = append(pools, x)
	}
	route := func(name, kind, pool string, more map[string]any) map[string]any {
		x := map[string]any{"Label": name, "Hostname": host, "PathPrefix": "/" + name + "/", "RouteKind": kind, "LimitMs": 2000, "TargetMs": 300, "Rank": 1, "Backend": pool, "MaxTries": 3}
		for k, v := range more {
			x[k] = v
		}
		return x
	}
	lots := func(name string) map[string]any {
		return route(name, "sampling", "llm", map[string]any{"LimitMs": 8000, "TargetMs": 500, "MaxWaitS": 40.0, "DueMs": 5000, "OnPolicy": true, "Sticky": true, "Resumable": true})
	}
	routes := []any{
		route("book", "idempotent", book, nil), route("pay", "mutating", "app", nil),
		route("chat", "streaming", "llm", map[string]any{"LimitMs": 8000, "TargetMs": 500, "Sticky": true, "Resumable": true}),
		lots(syncRoute),
	}
	for _, name := range d.extra {
		routes = append(routes, lots(name))
	}
	for n := range d.many {
		routes = append(routes, route(fmt.Sprint("many-", n), "idempotent", "app", map[string]any{"Hostname": fmt.Sprint("host-", n%97, ".example")}))
	}
	b, _ := json.Marshal(map[string]any{"Revision": rev, "Backends": pools, "RouteTable": routes, "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	return b
}

// put has a configuration taken, by any machine.
func (d *day) put(rev int, book string, most time.Duration) error {
	body := withOdd(d.plan(rev, book), d.odd)
	end := time.Now().Add(most)
	for n := 0; time.Now().Before(end); n++ {
		m := d.machines[n%len(d.machines)]
		code, _, b, _ := d.ask("PUT", m.control()+"/config", "", map[string]string{"If-Match": strconv.Itoa(d.config)}, body, callTime(body))
		if code == 200 {
			d.config, d.body = rev, body
			return nil
		}
		if code == 400 || code == 412 {
			return errors.Errorf("site: the configuration %d got %d %s", rev, code, b)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("site: the configuration %d was never taken", rev)
}

// callTime is how long an operator waits for an answer: longer for a large body.
func callTime(body []byte) time.Duration {
	const each = 4 * time.Second // for a megabyte
	return time.Second + time.Duration(len(body))*each/(1<<20)
}

// request makes one request of a client, with its tries.
func (d *day) request(n int) {
	kind := []string{"book", "pay", "chat"}[n%3]
	d.mu.Lock()
	d.rep.Asked++
	d.mu.Unlock()
	limit := time.Now().Add(2 * time.Second)
	for try := range 3 {
		left := time.Until(limit)
		if left <= 0 {
			return
		}
		id := d.id("t")
		head := map[string]string{"Attempt-Id": id, "Time-Left-Ms": strconv.FormatInt(left.Milliseconds(), 10)}
		if kind == "chat" {
			head["Model"], head["Token-Counts"], head["Prompt-Prefix"] = model, "400,20", "5a:300,"+id+":100"
		}
		path := "/" + kind + "/x?q=" + id
		m := d.machines[(n+try)%len(d.machines)]
		process, sent := m.current(), time.Now()
		code, back, body, err := d.ask("POST", m.front()+path, host, head, []byte("body "+id), left)
		if kind == "pay" {
			d.t.mu.Lock()
			runs := d.t.runs[id]
			d.t.mu.Unlock()
			if runs > 1 {
				d.t.bad("TWICE: %s ran %d times", id, runs)
			}
			if code == 503 || code == 429 {
				d.refusedIDs.Store(id, true)
				if runs > 0 {
					d.t.bad("REFUSED: %s got %d and ran", id, code)
				}
			}
		}
		if err != nil && code == 200 && kind == "chat" {
			d.brokenOff(m, process, id, sent, left)
		}
		if err == nil && code == 200 {
			d.check(kind, id, path, back, body)
			return
		}
		if err == nil && code/100 == 4 && code != 429 && code != 408 && code != 421 {
			d.t.bad("DENIED: %s on %s got %d %s", id, path, code, body)
			return
		}
		if kind == "pay" && code != 503 && code != 429 {
			return // it may have run
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (d *day) check(kind, id, path string, head http.Header, body []byte) {
	d.t.mu.Lock()
	sealed, known := d.t.seals[head.Get("Engine-Seal")]
	d.t.mu.Unlock()
	of, whole, _ := strings.Cut(sealed, "\n")
	if !known || of != id {
		d.t.bad("MIXED: %s has the stamp %q", id, head.Get("Engine-Seal"))
	}
	d.mu.Lock()
	d.rep.Served++
	d.mu.Unlock()
	if kind != "chat" {
		if whole != string(body) || !strings.Contains(whole, path) || !strings.HasSuffix(whole, "body "+id) {
			d.t.bad("MIXED: %s got %q, the engine said %q", id, body, whole)
		}
		return
	}
	var data []string
	for _, l := range strings.Split(string(body), "\n") {
		if x, ok := strings.CutPrefix(l, "data: "); ok {
			data = append(data, x)
		}
	}
	d.text("stream", id, 20, data)
	d.mu.Lock()
	d.rep.Texts++
	d.mu.Unlock()
}

// text checks the events of a text, and gives the versions that made it.
func (d *day) text(what, id string, most int, data []string) map[int]bool {
	made := map[int]bool{}
	if len(data) != most {
		d.t.bad("ORDER: the %s %s has %d of %d events", what, id, len(data), most)
	}
	for n, x := range data {
		p := strings.Split(x, ":")
		if len(p) != 3 || p[0] != id || p[1] != strconv.Itoa(n) {
			d.t.bad("ORDER: the %s %s has %q in the place of %d", what, id, x, n)
			return made
		}
		v, _ := strconv.Atoi(p[2])
		made[v] = true
	}
	return made
}

// name names a version of the weights.
func (d *day) name(version int) {
	d.t.mu.Lock()
	d.t.named = max(d.t.named, version)
	d.t.mu.Unlock()
	for n := range 40 {
		if code, _, _, _ := d.ask("POST", d.machines[n%len(d.machines)].control()+"/version-put", "", map[string]string{"Content-Type": "application/json"},
			fmt.Appendf(nil, `{"Model":%q,"Revision":%d}`, model, version), time.Second); code/100 == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.t.bad("version %d was never noted", version)
}

// Day runs one day: calm, or with troubles one after the other.
func Day(bin, dir string, troubled bool, length time.Duration) (Report, error) {
	name := map[bool]string{false: "calm", true: "troubled"}[troubled]
	folder := filepath.Join(dir, name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Report{}, errors.Wrap(err, "site")
	}
	site, err := start(bin, folder, usual)
	if site != nil {
		defer site.close()
	}
	if err != nil {
		return Report{}, err
	}
	client := newDay(site)
	client.rep.Day = name
	if err := client.begin(); err != nil {
		return client.rep, err
	}
	client.run(troubled, length)
	client.readBack()
	client.t.mu.Lock()
	defer client.t.mu.Unlock()
	client.rep.Broken, client.rep.Wrong = client.t.drops, client.t.wrong
	return client.rep, nil
}

// begin puts the first configuration and waits until all machines take clients.
func (d *day) begin() error {
	began := time.Now()
	if err := d.put(1, "app", 20*time.Second); err != nil {
		return err
	}
	d.rep.Ready = time.Since(began).Seconds()
	if err := d.wait(10 * time.Second); err != nil {
		return err
	}
	for _, machine := range d.site.machines { // later starts are not the first
		if err := d.site.write(machine, false); err != nil {
			return err
		}
	}
	return nil
}

// run sends requests, lots and versions, and has changes or troubles happen meanwhile.
func (d *day) run(troubled bool, length time.Duration) {
	end := time.Now().Add(length)
	var all sync.WaitGroup
	start := func(task func()) {
		all.Add(1)
		go func() { defer all.Done(); task() }()
	}
	start(func() {
		for n := 0; time.Now().Before(end); n++ {
			start(func() { d.request(n) })
			time.Sleep(20 * time.Millisecond)
		}
	})
	start(func() {
		for step := 1; time.Now().Before(end); step++ {
			d.lot(step)
			d.name(step + 1)
			d.rep.Version = step + 1
		}
	})
	start(func() {
		if troubled {
			d.troubles(length)
			return
		}
		time.Sleep(length / 2)
		if err := d.put(4, "other", 4*time.Second); err != nil {
			d.t.bad("%v", err)
		}
	})
	all.Wait()
}

// wait lets all machines become ready.
func (d *day) wait(most time.Duration) error {
	end := time.Now().Add(most)
	for _, m := range d.machines {
		for {
			if code, _, _, _ := d.ask("GET", "http://"+m.ip+readyPort+"/ready", "", nil, nil, time.Second); code == 200 {
				break
			}
			if time.Now().After(end) {
				return errors.Errorf("site: %s is not ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// troubles befall the site one after the other.
func (d *day) troubles(length time.Duration) {
	part := length / 8
	again := func(m *machine) {
		if err := d.launch(m); err != nil {
			d.t.bad("%v", err)
		}
	}
	for _, fault := range []func(){
		func() {
			for _, e := range d.engines {
				e.mu.Lock()
				e.rough = true
				e.mu.Unlock()
			}
		},
		func() { d.kill(d.machines[0]); time.Sleep(300 * time.Millisecond); again(d.machines[0]) },
		func() {
			d.machines[3].current().signal(syscall.SIGSTOP)
			time.Sleep(700 * time.Millisecond)
			d.machines[3].current().signal(syscall.SIGCONT)
		},
		func() {
			e := d.engines[1]
			e.crash()
			time.Sleep(300 * time.Millisecond)
			d.remove(e)
			if _, err := d.add(e.pool, e.zone); err != nil {
				d.t.bad("%v", err)
			}
		},
		func() {
			if !d.term(d.machines[1]) {
				d.t.bad("%s did not stop in time", d.machines[1].name)
			}
			again(d.machines[1])
		},
		func() {
			if err := d.put(d.config+2, "other", 8*time.Second); err != nil {
				d.t.bad("%v", err)
			}
		},
	} {
		time.Sleep(part)
		fault()
	}
}

// readBack reads the configuration at the end, from every machine.
func (d *day) readBack() {
	for _, machine := range d.machines {
		ok := false
		for end := time.Now().Add(6 * time.Second); !ok && time.Now().Before(end); {
			code, _, b, _ := d.ask("GET", machine.control()+"/config", "", nil, nil, callTime(d.body))
			ok = code == 200
			if ok && strings.TrimSpace(string(b)) != string(d.body) {
				d.t.bad("CONFIG: %s gives %.200s", machine.name, b)
			}
			if !ok {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if !ok {
			d.t.bad("CONFIG: %s gives none at the end", machine.name)
		}
	}
}
