package site

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"
)

// result is one listed item of a lot.
type result struct {
	InstanceId, State, Message string
	WeightVersions             []int
}

// resultPage is a page of a lot's results.
type resultPage struct {
	Total, NextToken int
	Outputs          []result
}

// lotRun is one lot of a day and what was read of it.
type lotRun struct {
	*day
	id     string
	step   int
	tokens map[string]int // that each item asks for
	until  time.Time
	seen   []result        // in their positions
	listed map[string]bool // items that were seen
	route  string
	first  int       // the machine at which it is handed in first
	began  time.Time // when its route was acknowledged, where that is new
}

const (
	lotGroups     = 6
	lotGroupItems = 4
	lotTime       = 6 * time.Second
)

// lot hands a lot in, reads it until its time is over, and ends it.
func (d *day) lot(step int) {
	run := &lotRun{day: d, id: d.id("l"), step: step, tokens: map[string]int{}, listed: map[string]bool{}, route: syncRoute, first: step}
	run.play()
}

// play hands the lot in, reads it until its time is over, and ends it.
func (r *lotRun) play() {
	d := r.day
	body := r.document()
	r.until = time.Now().Add(lotTime)
	taken, denied := r.handIn(body)
	if denied {
		return
	}
	d.mu.Lock()
	d.rep.Lots++
	d.mu.Unlock()
	if !taken {
		return
	}
	r.read()
	d.mu.Lock()
	d.rep.Items += len(r.seen)
	if len(r.seen) == len(r.tokens) {
		d.rep.Whole++
	}
	d.mu.Unlock()
	r.end()
}

// document is the lot as it is handed in.
func (r *lotRun) document() []byte {
	requests := []any{}
	for group := range lotGroups {
		for range lotGroupItems {
			item := r.day.id("i")
			r.tokens[item] = 8 + len(r.tokens)%12
			requests = append(requests, map[string]any{
				"InstanceId": item, "Path": r.path(strconv.Itoa(r.step) + "/" + item),
				"Body": base64.StdEncoding.EncodeToString([]byte(item)), "Tokens": 500, "GroupId": fmt.Sprint(r.id, group),
				"Headers": map[string]string{
					"Model": model, "Token-Counts": fmt.Sprintf("480,%d", r.tokens[item]),
					"Prompt-Prefix": fmt.Sprintf("5a:300,%d:180", group),
				},
			})
		}
	}
	body, _ := json.Marshal(map[string]any{"TrainStep": r.step, "Model": model, "MinVersion": r.step, "Desired": lotGroups, "Requests": requests})
	return body
}

// front is where clients reach one machine after the other.
func (r *lotRun) front(n int) string { return r.machines[n%len(r.machines)].front() }

// handIn tries until the lot is taken, refused for good, or its time is over.
func (r *lotRun) handIn(body []byte) (taken, denied bool) {
	head := map[string]string{"Attempt-Id": r.id, "Content-Type": "application/json"}
	for n := r.first; !taken && time.Now().Before(r.until); n++ {
		code, _, answer, _ := r.ask("POST", r.front(n)+r.path(r.id), host, head, body, 1500*time.Millisecond)
		taken = code == 202
		if code/100 == 4 && code != 429 && !r.lateRoute(code) {
			r.t.bad("DENIED: lot %s got %d %s", r.id, code, answer)
			return false, true
		}
		if !taken {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return taken, false
}

// read reads pages until all items are listed or the time is over. Each fourth page
// begins at half of what was seen, so that positions are read twice.
func (r *lotRun) read() {
	for n := r.step; len(r.seen) < len(r.tokens) && time.Now().Before(r.until); n++ {
		from := len(r.seen)
		if n%4 == 3 {
			from /= 2
		}
		url := fmt.Sprintf("%s/lots/%s?SinceToken=%d", r.front(n), r.id, from)
		code, _, answer, _ := r.ask("GET", url, host, map[string]string{"Wait-Ms": "300"}, nil, 1800*time.Millisecond)
		if code != 200 {
			if code == 404 {
				r.t.bad("LOST: lot %s got 404", r.id)
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var page resultPage
		if json.Unmarshal(answer, &page) != nil || page.Total != len(r.tokens) || page.NextToken != from+len(page.Outputs) {
			r.t.bad("MIXED: lot %s reads %.200s", r.id, answer)
		}
		for k, item := range page.Outputs {
			r.take(from+k, item)
		}
	}
}

// take checks one listed item.
func (r *lotRun) take(position int, item result) {
	if position < len(r.seen) {
		if fmt.Sprint(r.seen[position]) != fmt.Sprint(item) {
			r.t.bad("TWICE: position %d of lot %s changed", position, r.id)
		}
		return
	}
	_, mine := r.tokens[item.InstanceId]
	spent := item.State == "abandoned" && r.failures(item.InstanceId) >= lotTries
	if !mine || r.listed[item.InstanceId] || item.State != "complete" && !spent {
		r.t.bad("MIXED: lot %s lists %s as %s after %d answers of 500", r.id, item.InstanceId, item.State, r.failures(item.InstanceId))
	}
	r.listed[item.InstanceId] = true
	if item.State != "complete" {
		r.seen = append(r.seen, item)
		return
	}
	made := r.text("item", item.InstanceId, r.tokens[item.InstanceId], strings.Split(item.Message, "\n"))
	versions := item.WeightVersions
	if len(made) != 1 || len(versions) != 1 || !made[versions[0]] || versions[0] < r.step {
		r.t.bad("VERSION: %s of step %d says %v, made under %v", item.InstanceId, r.step, versions, made)
	}
	r.seen = append(r.seen, item)
}

// lotTries is the MaxTries of all routes of a site.
const lotTries = 3

// failures counts the answers of 500 that engines gave to an item.
func (r *lotRun) failures(item string) int {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	return r.t.fails[item]
}

// end ends the lot.
func (r *lotRun) end() {
	for n := range 20 {
		code, _, _, _ := r.ask("DELETE", r.front(n)+"/lots/"+r.id, host, nil, nil, 1500*time.Millisecond)
		if code == 200 {
			r.noteEnd()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.bad("lot %s could not be ended", r.id)
}

// noteEnd notes that none of the lot's items may run any more.
func (r *lotRun) noteEnd() {
	now := time.Now()
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	for item := range r.tokens {
		r.t.ended[item] = now
	}
}
