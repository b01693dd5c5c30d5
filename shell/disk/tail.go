package disk

import (
	"bytes"

	"fernlink/core/flow"
)

// A save is followed by a mark, in the same write: a small frame that says again
// where the log and the hard state stand after it. Where the last save is damaged and
// its mark is not, the member knows its term, its vote and where its log ended, and
// only lacks the entries themselves (design 4.6).

// tailMark says where a save leaves the log. Index is 0 where it adds no entry.
type tailMark struct {
	Hard  flow.Hard `json:"hard"`
	Term  uint64    `json:"term,omitempty"`
	Index uint64    `json:"index,omitempty"`
}

// markOf gives the mark of a batch of saves that comes after a hard state.
func markOf(hard flow.Hard, saves []flow.Save) *tailMark {
	mark := &tailMark{Hard: hard}
	for _, save := range saves {
		if save.Hard != nil {
			mark.Hard = *save.Hard
		}
		if n := len(save.Add); n > 0 {
			mark.Term, mark.Index = save.Add[n-1].Term, save.Add[n-1].Index
		}
	}
	return mark
}

// markState follows the marks of a segment: none is expected before the first was
// seen, since older builds wrote none.
type markState struct {
	seen     bool
	expected bool // the last frame that was read is a save, and its mark comes next
}

func (m *markState) note(r record) {
	m.seen = m.seen || r.Mark != nil
	m.expected = r.Mark == nil
}

// damageKind tells what became of a log's end.
type damageKind int

const (
	damageNone       damageKind = iota
	damageTorn                  // the last save was never whole, and so never acknowledged
	damageOfMark                // the last save is there, its mark is not
	damageMarked                // the last save is damaged, and its mark says where it led
	damageUnknown               // the last save is damaged, and nothing is known of it
	damageBeforeTail            // whole frames follow: this is no matter of the tail
	damageUnread                // its checksum fits and it does not parse: it was written so, and may have been acknowledged
)

// tailDamage is what is wrong with the end of the last segment.
type tailDamage struct {
	kind damageKind
	mark tailMark
}

// tailOf judges what follows the last frame that reads, at byte at of a segment.
func (l *Log) tailOf(raw []byte, at int) tailDamage {
	rest := raw[at:]
	if _, _, isWhole := frameBody(rest); isWhole {
		return tailDamage{kind: damageUnread}
	}
	if mark, before, ok := lastMark(rest); ok && !whole(before) {
		return tailDamage{kind: damageMarked, mark: mark}
	}
	if whole(rest) {
		return tailDamage{kind: damageBeforeTail}
	}
	if !ended(raw) {
		return tailDamage{kind: damageTorn}
	}
	oneLine := bytes.IndexByte(rest, '\n') == len(rest)-1
	if l.marks.seen && l.marks.expected && oneLine {
		return tailDamage{kind: damageOfMark}
	}
	return tailDamage{kind: damageUnknown}
}

// lastMark reads the last line of a segment as a mark, and gives what is before it.
func lastMark(b []byte) (mark tailMark, before []byte, ok bool) {
	start := bytes.LastIndexByte(b[:len(b)-1], '\n') + 1
	var r record
	size, ok := unframe(b[start:], &r)
	if !ok || start == 0 || size != len(b)-start || r.Mark == nil {
		return tailMark{}, nil, false
	}
	return *r.Mark, b[:start], true
}

// applyTo gives the hard state that a member with such a tail starts with. One that
// was no part of a cluster has acknowledged nothing.
func (d tailDamage) applyTo(hard flow.Hard) flow.Hard {
	switch {
	case d.kind == damageMarked && d.mark.Hard.Cluster != "":
		return d.mark.restored()
	case d.kind == damageUnknown && hard.Cluster != "":
		hard.Unsure, hard.LostTerm, hard.LostIndex = true, 0, 0
	}
	return hard
}

// restored gives the hard state of a damaged save by its mark. Where that save added
// entries, they are gone; what had been lost before stays lost.
func (m tailMark) restored() flow.Hard {
	hard := m.Hard
	if m.Index == 0 {
		return hard
	}
	unknown := hard.Unsure && hard.LostIndex == 0
	hard.Unsure = true
	if unknown {
		return hard
	}
	if m.Term > hard.LostTerm || m.Term == hard.LostTerm && m.Index > hard.LostIndex {
		hard.LostTerm, hard.LostIndex = m.Term, m.Index
	}
	return hard
}
