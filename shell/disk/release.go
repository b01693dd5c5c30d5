package disk

import (
	"slices"

	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// release keeps which items may be deleted, and from which snapshot on. A slow
// disk saves many changes in one batch, so changes of commands after a snapshot
// may be known before that snapshot is written: each change carries the index of
// its command, and only a snapshot at or after it brings it into force.
type release struct {
	drops  []pendingDrop
	only   map[string][]uint64 // all that a snapshot at onlyAt names, or nil
	onlyAt uint64
	recent map[flow.Ref]uint64 // items put since the last snapshot, by their command
}

// pendingDrop is an item that no snapshot at or after an index names.
type pendingDrop struct {
	ref flow.Ref
	at  uint64
}

func newRelease() release { return release{recent: map[flow.Ref]uint64{}} }

func (r *release) put(change flow.BlobChange) {
	for _, item := range change.Put {
		r.recent[item.Ref] = change.At
	}
}

func (r *release) drop(change flow.BlobChange) {
	for _, ref := range change.Drop {
		r.drops = append(r.drops, pendingDrop{ref, change.At})
	}
}

// keeps says whether an item stays that the list of all items does not name: it
// was put by a command after the list.
func (r *release) keeps(ref flow.Ref) bool { return r.recent[ref] > r.onlyAt }

// dropped gives the items that a snapshot at an index no longer names.
func (r *release) dropped(index uint64) []flow.Ref {
	var refs []flow.Ref
	left := r.drops[:0:0]
	for _, drop := range r.drops {
		if drop.at <= index {
			refs = append(refs, drop.ref)
		} else {
			left = append(left, drop)
		}
	}
	r.drops = left
	return refs
}

// forget ends what a snapshot at an index has settled.
func (r *release) forget(index uint64) {
	for ref, at := range r.recent {
		if at <= index {
			delete(r.recent, ref)
		}
	}
}

// settle deletes what the snapshot at an index, which was just written, does not
// name.
func (s *BlobStore) settle(index uint64) error {
	release := &s.release
	if release.only != nil && release.onlyAt <= index {
		s.deleteOthers(release.only)
		release.only = nil
	}
	for _, ref := range release.dropped(index) {
		if segment, at := s.find(ref); segment != nil {
			segment.delete(at)
		}
	}
	release.forget(index)
	return s.sweep()
}

// only takes the list of all that must be there. All else is deleted with the
// first snapshot at or after the list.
func (s *BlobStore) only(change flow.BlobChange) error {
	for kind, ids := range change.Only {
		for _, id := range ids {
			if segment, _ := s.find(flow.Ref{Kind: kind, ID: id}); segment == nil {
				return errors.Wrapf(ErrMissing, "%s %d", kind, id)
			}
		}
	}
	s.release.only, s.release.onlyAt = change.Only, change.At
	return nil
}

// deleteOthers deletes all that is not on a list and was there when it was made.
func (s *BlobStore) deleteOthers(all map[string][]uint64) {
	for kind, r := range s.kinds {
		for _, segment := range r.segments {
			for i, id := range segment.ids {
				_, named := slices.BinarySearch(all[kind], id)
				if !named && !segment.dead[i] && !s.release.keeps(flow.Ref{Kind: kind, ID: id}) {
					segment.delete(i)
				}
			}
		}
	}
}

func (t *blobSegment) delete(i int) {
	t.dead[i] = true
	t.released++
}
