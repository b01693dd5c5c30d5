package explore

import "fernlink/core/raft"

func (x *expansion) addLearner() {
	x.each(isLeader, func(machine int, leader *member) {
		conf := leader.raft.Conf()
		for _, m := range x.from.members {
			if conf.Find(m.id) < 0 {
				x.change(AddLearner, machine, m.id, conf.With(raft.Member{ID: m.id, Addr: m.id[:1]}))
			}
		}
	})
}

func (x *expansion) promote() {
	x.each(isLeader, func(machine int, leader *member) {
		conf := leader.raft.Conf()
		for _, learner := range conf.Members {
			if !learner.Voter {
				learner.Voter = true
				x.change(Promote, machine, learner.ID, conf.With(learner))
			}
		}
	})
}

func (x *expansion) remove() {
	x.each(isLeader, func(machine int, leader *member) {
		conf := leader.raft.Conf()
		for _, m := range conf.Members {
			x.change(Remove, machine, m.ID, conf.Without(m.ID))
		}
	})
}

// change proposes a membership at a leader.
func (x *expansion) change(kind ActionKind, machine int, id string, conf raft.Conf) {
	next := x.add(action{kind: kind, member: x.from.members[machine].id, detail: id})
	leader := next.edit(machine)
	if _, _, err := leader.raft.Change(conf); err != nil {
		x.drop()
		return
	}
	next.turn(leader)
}
