package sim

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"
)

// siteReward is the reward call of an item.
type siteReward struct {
	item           *siteItem
	id, path, body string
	fails          bool // engines fail it each time
}

// siteRewards are the reward calls of a site, and what is known of texts that they score.
type siteRewards struct {
	by   map[string]*siteReward
	made map[int]time.Duration // when a run made the last event of its text
}

func newSiteRewards() siteRewards {
	return siteRewards{by: map[string]*siteReward{}, made: map[int]time.Duration{}}
}

// fails says whether engines fail a request each time.
func (r siteRewards) fails(id string) bool { return r.by[id] != nil && r.by[id].fails }

// spent says whether an item's reward call has failed so often that it may be given up.
func (r siteRewards) spent(s *Site, i *siteItem) bool {
	return i.reward != nil && s.fails[i.reward.id] >= siteTries
}

// siteTries is the MaxTries of all routes of a site.
const siteTries = 3

// addReward gives an item a reward call, by the route of bookings.
func (s *Site) addReward(i *siteItem) {
	id := s.name("w")
	i.reward = &siteReward{item: i, id: id, path: "/book/" + id, body: "score of " + i.id, fails: s.w.Rand.Intn(100) == 0}
	s.rewards.by[id] = i.reward
}

// request is the reward call as a lot has it.
func (r *siteReward) request() map[string]any {
	return map[string]any{"InstanceId": r.id, "Hostname": siteName, "Path": r.path, "Body": base64.StdEncoding.EncodeToString([]byte(r.body))}
}

// checkScore holds the score of a complete result against what its reward call was answered.
func (s *Site) checkScore(l *siteLot, i *siteItem, o siteOutput, lines []string) {
	if i.reward == nil {
		if o.Score != "" {
			s.wrong("MIXED", "lot %s lists %s with a score, and it has no reward call", l.id, i.id)
		}
		return
	}
	seal := s.seals[o.Score]
	if o.Score == "" || seal.id != i.reward.id || seal.code != 200 {
		s.wrong("MIXED", "lot %s lists %s with the score %q, which is no answer to its reward call", l.id, i.id, o.Score)
		return
	}
	s.Count["results scored"]++
	last := strings.Split(lines[len(lines)-1], ":")
	run, _ := strconv.Atoi(last[len(last)-1])
	if made := s.rewards.made[run]; seal.came < made {
		s.wrong("MIXED", "lot %s lists %s with a score that was asked for at %v, before its text was whole at %v", l.id, i.id, seal.came, made)
	}
}
