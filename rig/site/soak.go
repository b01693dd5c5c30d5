package site

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
)

// SoakConfig are the options of one soak.
type SoakConfig struct {
	Bin    string // folder of the fernlink program
	Folder string // where its logs go; they stay if anything was found
	Seed   int64  // of the troubles; timing differs between runs all the same
	Rounds int    // of troubles that overlap

	Machines int    // of the fleet, 0 for the usual
	Kinds    []Kind // of trouble, all of them in each round; none for pairs in turn
}

// SoakReport is what one soak came to.
type SoakReport struct {
	Seed     int64          `json:"seed"`
	Rounds   int            `json:"rounds"`
	Asked    int            `json:"asked"`
	Served   int            `json:"served"`
	Lots     int            `json:"lots"`
	Whole    int            `json:"lots_read_whole"`
	Pairs    map[string]int `json:"pairs"` // kinds of trouble that overlapped in time
	Slowest  float64        `json:"slowest_recovery_seconds"`
	Machines int            `json:"machines"`
	MostMB   int            `json:"most_mb"` // that any process had
	Found    []string       `json:"found,omitempty"`
	Folder   string         `json:"folder,omitempty"` // logs of a soak that found something
	TookSecs float64        `json:"seconds"`
}

// soak is a day with troubles that overlap.
type soak struct {
	*day
	report     SoakReport
	notesMu    sync.Mutex
	notes      []byte
	changing   sync.Mutex  // one configuration after the other
	diskLost   atomic.Bool // in this round: no other may be until all stores vote
	alone      bool        // one kind of trouble comes at a time
	acked      []ackedVersion
	ackedBytes int // of the newest
	ackedMu    sync.Mutex
}

// ackedVersion is a configuration with the time of its acknowledgement.
type ackedVersion struct {
	version int
	at      time.Time
}

// Soak runs one soak: real processes, and the troubles of its seed.
func Soak(config SoakConfig) (SoakReport, error) {
	began := time.Now()
	if err := emptyFolder(config.Folder); err != nil {
		return SoakReport{}, err
	}
	size := sizeOf(config)
	site, err := start(config.Bin, config.Folder, size)
	if site != nil {
		defer site.close()
	}
	if err != nil {
		return SoakReport{}, err
	}
	s := &soak{day: newDay(site), report: SoakReport{Seed: config.Seed, Rounds: config.Rounds, Machines: size.machines, Pairs: map[string]int{}}}
	if err := s.begin(); err != nil {
		s.t.bad("START: %v", err)
	} else {
		s.acknowledge()
		s.play(config)
	}
	s.closing(config.Seed)
	s.readBack()
	s.checkRefused()
	s.scrape()
	site.close()
	s.readLogs()
	s.report.TookSecs = time.Since(began).Seconds()
	return s.finish(config.Folder), nil
}

// smallMemoryMB is what the machines of every other soak have.
const smallMemoryMB = 184

// sizeOf is the size of a soak's site.
func sizeOf(config SoakConfig) size {
	of := usual
	if config.Machines > 0 {
		of.machines = config.Machines
	}
	if config.Seed%2 == 0 {
		of.memoryMB = smallMemoryMB
	}
	of.unfenced = config.Seed%3 == 0
	return of
}

// emptyFolder makes a folder for a soak. What an earlier one of the seed has left is put
// aside: its data folders are those of another cluster.
func emptyFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		aside := fmt.Sprintf("%s-until-%s", path, time.Now().UTC().Format("20060102T150405"))
		if err := os.Rename(path, aside); err != nil {
			return errors.Wrap(err, "soak")
		}
	}
	return errors.Wrap(os.MkdirAll(path, 0o755), "soak")
}

// finish writes the report; the logs stay where something was found.
func (s *soak) finish(folder string) SoakReport {
	s.t.mu.Lock()
	s.report.Found = append([]string(nil), s.t.wrong...)
	s.t.mu.Unlock()
	s.mu.Lock()
	s.report.Asked, s.report.Served, s.report.Lots, s.report.Whole = s.rep.Asked, s.rep.Served, s.rep.Lots, s.rep.Whole
	s.mu.Unlock()
	if len(s.report.Found) == 0 {
		_ = os.RemoveAll(folder)
		return s.report
	}
	s.report.Folder = folder
	text, _ := json.MarshalIndent(s.report, "", "  ")
	_ = os.WriteFile(filepath.Join(folder, "report.json"), text, 0o644)
	_ = os.WriteFile(filepath.Join(folder, "troubles.log"), s.notes, 0o644)
	return s.report
}

// play sends traffic while one round of troubles follows the other.
func (s *soak) play(config SoakConfig) {
	over := make(chan struct{})
	var traffic sync.WaitGroup
	background := func(task func()) {
		traffic.Add(1)
		go func() { defer traffic.Done(); task() }()
	}
	running := func() bool {
		select {
		case <-over:
			return false
		default:
			return true
		}
	}
	background(func() {
		for n := 0; running(); n++ {
			background(func() { s.request(n) })
			time.Sleep(requestGap)
		}
	})
	background(func() {
		for step := 1; running(); step++ {
			s.lot(step)
			s.name(step + 1)
		}
	})
	background(func() {
		for n := 0; running(); n++ {
			s.readConfiguration(s.machines[n%len(s.machines)])
			time.Sleep(requestGap + s.pauseAfterRead())
		}
	})
	background(func() { s.watchMemory(running) })
	s.alone = len(config.Kinds) == 1
	kept := s.keep(config.Seed, running)
	random := rand.New(rand.NewSource(config.Seed))
	for round := range config.Rounds {
		kinds := config.Kinds
		if len(kinds) == 0 {
			kinds = kindsOf(random, int(config.Seed)*config.Rounds+round)
		}
		s.round(random, kinds)
	}
	close(over)
	traffic.Wait()
	kept.Wait()
}

// pauseAfterRead is longer after a large configuration was read.
func (s *soak) pauseAfterRead() time.Duration {
	s.ackedMu.Lock()
	defer s.ackedMu.Unlock()
	const each = 200 * time.Millisecond // for a megabyte
	return time.Duration(s.ackedBytes) * each / (1 << 20)
}

// requestGap is the pause between two requests of clients.
const requestGap = 25 * time.Millisecond

// pairOf gives the two kinds of a round, each pair in turn.
func pairOf(n int) (Kind, Kind) {
	n %= Kinds * (Kinds - 1) / 2
	for first := range Kinds {
		for second := first + 1; second < Kinds; second++ {
			if n == 0 {
				return Kind(first), Kind(second)
			}
			n--
		}
	}
	return 0, 1
}

// A trouble begins within latestStart of its round and lasts at least shortestTrouble,
// so that all troubles of a round overlap.
const (
	latestStart     = 700 * time.Millisecond
	shortestTrouble = time.Second
)

// span is when a trouble was there.
type span struct {
	kind       Kind
	start, end time.Time
}

// kindsOf gives the two or three kinds of trouble of a round.
func kindsOf(random *rand.Rand, number int) []Kind {
	first, second := pairOf(number)
	kinds := []Kind{first, second}
	if third := Kind(random.Intn(Kinds)); third != first && third != second && random.Intn(2) == 0 {
		kinds = append(kinds, third)
	}
	return kinds
}

// round has troubles at once, and waits until the site is well again.
func (s *soak) round(random *rand.Rand, kinds []Kind) {
	spans := make([]span, len(kinds))
	var all sync.WaitGroup
	for i, kind := range kinds {
		delay := time.Duration(random.Int63n(int64(latestStart)))
		length := shortestTrouble + time.Duration(random.Int63n(int64(longestTrouble-shortestTrouble)))
		own := rand.New(rand.NewSource(random.Int63()))
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(delay)
			spans[i] = span{kind: kind, start: time.Now()}
			troubles[kind](s, own, length)
			spans[i].end = time.Now()
		}()
	}
	all.Wait()
	s.countPairs(spans)
	s.recover(kinds)
}

func (s *soak) countPairs(spans []span) {
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			if a.start.Before(b.end) && b.start.Before(a.end) {
				s.report.Pairs[PairName(a.kind, b.kind)]++
			}
		}
	}
}

// PairName names two kinds, whatever their order.
func PairName(a, b Kind) string {
	if b < a {
		a, b = b, a
	}
	return a.String() + " + " + b.String()
}

// recoverBound is how long after the last trouble all must be well.
const recoverBound = 12 * time.Second

// recover waits until every machine serves each kind of request and a change is
// acknowledged.
func (s *soak) recover(kinds []Kind) {
	s.loseOnceItCounts()
	healed := time.Now()
	for _, m := range s.machines {
		for n := 0; ; n++ {
			why := s.sound(m)
			if why == "" {
				break
			}
			if time.Since(healed) > recoverBound {
				s.t.bad("RECOVER: %v after %v: %s at %s", time.Since(healed).Round(time.Millisecond), kinds, why, m.name)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.change(rand.New(rand.NewSource(1)))
	took := time.Since(healed)
	s.awaitVoters(kinds)
	s.diskLost.Store(false)
	s.note("well %v after %v", took.Round(time.Millisecond), kinds)
	if took > recoverBound {
		s.t.bad("RECOVER: a change took until %v after %v", took.Round(time.Millisecond), kinds)
	}
	s.report.Slowest = max(s.report.Slowest, took.Seconds())
}

// voterBound is how long a store may take to vote again after its disk was lost.
const voterBound = 30 * time.Second

// awaitVoters waits until all stores vote, so that the next disk may be lost.
func (s *soak) awaitVoters(kinds []Kind) {
	for end := time.Now().Add(voterBound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.voters() == stores {
			return
		}
	}
	s.t.bad("RECOVER: %d of %d stores vote %v after %v", s.voters(), stores, voterBound, kinds)
}

// voters counts the stores that vote, 0 where nobody says. While a member is there that does
// not, a store has not been taken in yet, and the one that it was before counts for nothing:
// that has the same address, and its disk is gone.
func (s *soak) voters() int {
	for _, m := range s.machines {
		code, _, body, err := s.ask("GET", "http://"+m.ip+adminPort+"/v1/stores", "", nil, nil, time.Second)
		var listed struct {
			Stores []struct {
				Addr  string `json:"addr"`
				Voter bool   `json:"voter"`
			} `json:"stores"`
		}
		if err != nil || code != 200 || json.Unmarshal(body, &listed) != nil {
			continue
		}
		voting, members := map[string]bool{}, map[string]int{}
		for _, member := range listed.Stores {
			members[member.Addr]++
			if member.Voter {
				voting[member.Addr] = true
			}
		}
		for addr, count := range members {
			if count > 1 {
				delete(voting, addr)
			}
		}
		return len(voting)
	}
	return 0
}

// closing ends a soak as the platform ends its days: right after a configuration was
// acknowledged all processes are killed, and all start again.
func (s *soak) closing(seed int64) {
	random := rand.New(rand.NewSource(seed))
	s.change(random)
	s.note("all are killed")
	s.killAll()
	s.recover([]Kind{Restart})
}

// sound says what a machine does not do, "" if it does all.
func (s *soak) sound(m *machine) string {
	if code, _, _, _ := s.ask("GET", "http://"+m.ip+readyPort+"/ready", "", nil, nil, time.Second); code != 200 {
		return fmt.Sprintf("not ready (%d)", code)
	}
	for _, kind := range []string{"book", "pay", "chat"} {
		id := s.id("r")
		head := map[string]string{"Attempt-Id": id, "Time-Left-Ms": "1500"}
		if kind == "chat" {
			head["Model"], head["Token-Counts"], head["Prompt-Prefix"] = model, "400,20", "5a:300,"+id+":100"
		}
		if code, _, _, err := s.ask("POST", m.front()+"/"+kind+"/x", host, head, []byte(id), 1500*time.Millisecond); code != 200 {
			return fmt.Sprintf("%s got %d, %v", kind, code, err)
		}
	}
	return ""
}

// change puts one configuration more, and notes when it was acknowledged.
func (s *soak) change(random *rand.Rand) {
	s.changing.Lock()
	defer s.changing.Unlock()
	s.odd = oddFields[random.Intn(len(oddFields))]
	if err := s.put(s.config+1, []string{"app", "other"}[random.Intn(2)], 3*recoverBound); err != nil {
		s.t.bad("CONFIG: %v", err)
		return
	}
	s.acknowledge()
}

// acknowledge notes that the newest configuration is.
func (s *soak) acknowledge() {
	s.ackedMu.Lock()
	defer s.ackedMu.Unlock()
	s.acked = append(s.acked, ackedVersion{s.config, time.Now()})
	s.ackedBytes = len(s.body)
}

// applyBound is how old a configuration may be that a machine answers.
const applyBound = 2 * time.Second

// readConfiguration asks one machine, in touch or not: the newest, or no answer.
func (s *soak) readConfiguration(m *machine) {
	least := 0
	s.ackedMu.Lock()
	for _, acked := range s.acked {
		if time.Since(acked.at) > applyBound {
			least = acked.version
		}
	}
	s.ackedMu.Unlock()
	code, _, body, err := s.ask("GET", m.control()+"/config", "", nil, nil, time.Second)
	if err != nil || code != 200 {
		return
	}
	var read struct{ Revision int }
	if json.Unmarshal(body, &read) != nil || read.Revision < least {
		s.t.bad("CONFIG: %s answers version %d, %d was acknowledged", m.name, read.Revision, least)
	}
}

// checkRefused finds run-once requests that were refused and ran all the same.
func (s *soak) checkRefused() {
	s.refusedIDs.Range(func(id, _ any) bool {
		s.t.mu.Lock()
		runs := s.t.runs[id.(string)]
		s.t.mu.Unlock()
		if runs > 0 {
			s.t.bad("REFUSED: %s was refused and ran", id)
		}
		return true
	})
}

// violationMetric is the metric that counts violated invariants, by name.
const violationMetric = "fernlink_invariant_violations_total"

// scrape reads the invariants' counts of the processes that run.
func (s *soak) scrape() {
	for _, m := range s.machines {
		_, _, body, _ := s.ask("GET", "http://"+m.ip+adminPort+"/metrics", "", nil, nil, 2*time.Second)
		for _, line := range strings.Split(string(body), "\n") {
			name, value, ok := strings.Cut(line, " ")
			if !ok || !strings.HasPrefix(name, violationMetric) {
				continue
			}
			if count, err := strconv.ParseFloat(value, 64); err != nil || count > 0 {
				s.t.bad("INVARIANT: %s counts %s", m.name, line)
			}
		}
	}
}

// violationText is how a violated invariant stands in a log.
const violationText = "invariant violated"

// readLogs finds invariants that processes of the past have logged.
func (s *soak) readLogs() {
	for _, m := range s.machines {
		raw, err := os.ReadFile(filepath.Join(s.dir, m.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(raw, []byte("\n")) {
			if bytes.Contains(line, []byte(violationText)) {
				s.t.bad("INVARIANT: %s logs %.300s", m.name, line)
			}
		}
	}
}
