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
}

const (
	lotGroups     = 6
	lotGroupItems = 4
	lotTime       = 6 * time.Second
)

// lot hands a lot in, reads it until its time is over, and ends it.
func (d *day) lot(step int) {
	run := &lotRun{day: d, id: d.id("l"), step: step, tokens: map[string]int{}, listed: map[string]bool{}}
	body := run.document()
	run.until = time.Now().Add(lotTime)
	taken, denied := run.handIn(body)
	if denied {
		return
	}
	d.mu.Lock()
	d.rep.Lots++
	d.mu.Unlock()
	if !taken {
		return
	}
	run.read()
	d.mu.Lock()
	d.rep.Items += len(run.seen)
	if len(run.seen) == len(run.tokens) {
		d.rep.Whole++
	}
	d.mu.Unlock()
	run.end()
}

// document is the lot as it is handed in.
func (r *lotRun) document() []byte {
	requests := []any{}
	for group := range lotGroups {
		for range lotGroupItems {
			item := r.day.id("i")
			r.tokens[item] = 8 + len(r.tokens)%12
			requests = append(requests, map[string]any{
				"InstanceId": item, "Path": "/sync/" + strconv.Itoa(r.step) + "/" + item,
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
	for n := r.step; !taken && time.Now().Before(r.until); n++ {
		code, _, answer, _ := r.ask("POST", r.front(n)+"/sync/"+r.id, host, head, body, 1500*time.Millisecond)
		taken = code == 202
		if code/100 == 4 && code != 429 {
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
	if _, mine := r.tokens[item.InstanceId]; !mine || r.listed[item.InstanceId] || item.State != "complete" {
		r.t.bad("MIXED: lot %s lists %s as %s", r.id, item.InstanceId, item.State)
	}
	r.listed[item.InstanceId] = true
	made := r.text("item", item.InstanceId, r.tokens[item.InstanceId], strings.Split(item.Message, "\n"))
	versions := item.WeightVersions
	if len(made) != 1 || len(versions) != 1 || !made[versions[0]] || versions[0] < r.step {
		r.t.bad("VERSION: %s of step %d says %v, made under %v", item.InstanceId, r.step, versions, made)
	}
	r.seen = append(r.seen, item)
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
