package explore

import (
	"slices"
	"sync"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

// disk is what a member's data folder holds after a sync.
type disk struct {
	hard     flow.Hard
	snapshot *flow.Snapshot
	entries  []flow.Entry
}

// write gives the disk with one batch of saves on it, as shell/disk orders them.
func (d disk) write(saves []flow.Save) disk {
	for _, save := range saves {
		if save.Hard != nil {
			d.hard = *save.Hard
		}
		if save.Snapshot != nil {
			d.snapshot = save.Snapshot
			d.entries = after(d.entries, save.Snapshot.Index)
		}
		if save.Cut > 0 {
			d.entries = before(d.entries, save.Cut)
		}
		d.entries = append(slices.Clip(d.entries), save.Add...)
	}
	return d
}

// before gives the entries below an index.
func before(entries []flow.Entry, index uint64) []flow.Entry {
	for len(entries) > 0 && entries[len(entries)-1].Index >= index {
		entries = entries[:len(entries)-1]
	}
	return entries
}

// after gives the entries above an index.
func after(entries []flow.Entry, index uint64) []flow.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

// logView is the log that a member would start with from the disk.
func (d disk) logView() raft.LogView {
	view := raft.LogView{Entries: d.entries}
	if d.snapshot != nil {
		view.BaseIndex, view.BaseTerm = d.snapshot.Index, d.snapshot.Term
		view.Conf = decodeConf(d.snapshot.Conf)
	}
	for _, entry := range d.entries {
		if entry.Kind == raft.EntryConf {
			view.Conf = decodeConf(entry.Data)
		}
	}
	return view
}

// decoded keeps the configurations by their encoding: there are few.
var decoded sync.Map

func decodeConf(data json.RawMessage) raft.Conf {
	if conf, ok := decoded.Load(string(data)); ok {
		return conf.(raft.Conf)
	}
	var conf raft.Conf
	if err := json.Unmarshal(data, &conf); err != nil {
		panic(err) // only encoded configurations are written
	}
	decoded.Store(string(data), conf)
	return conf
}
