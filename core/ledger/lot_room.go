// Room for lots on the disk (design 4.7).

package ledger

// Lots may hold so many parts of the disk; the log, snapshots and segments that are
// partly let go need the rest.
const (
	lotDiskParts = 5
	diskParts    = 8
)

// LotBytesOf is what lots may hold on a disk of so many MB.
func LotBytesOf(diskMB int) int64 { return int64(diskMB) << 20 * lotDiskParts / diskParts }

// usualTextBytes is what a text is taken to need while none is kept.
const usualTextBytes = 4 << 10

// requestBytes is about what requests need on the blob store, where bodies are
// written in base64.
func requestBytes(items []LotItem) (size int64) {
	for _, item := range items {
		size += int64(len(item.Body)*4/3 + sizeOf)
		for _, field := range item.Fields {
			size += int64(len(field.Name) + len(field.Value))
		}
	}
	return size
}

// roomForLot says whether a lot fits beside those that are kept, with the texts
// that it and the open ones are still to get. A disk that fills up stops reads as
// well as changes, so what can't be kept is refused before any of it runs. Lots of which
// there are parts alone count as if they were whole, but for its own.
func (l *Ledger) roomForLot(lot *Lot, parts PartsName) bool {
	if l.Bounds.LotBytes <= 0 {
		return true
	}
	var held, textBytes, texts int64
	missing := int64(len(lot.IDs))
	for _, t := range l.Lots {
		held += t.requestBytes + t.textBytes
		textBytes += t.textBytes
		texts += int64(len(t.List))
		if !t.Ended {
			missing += int64(len(t.IDs) - len(t.List))
		}
	}
	for name, staged := range l.Staged {
		if name != parts {
			held += staged.held()
			missing += int64(staged.Items)
		}
	}
	mean := int64(usualTextBytes)
	if texts > 0 {
		mean = textBytes / texts
	}
	return held+lot.requestBytes+missing*mean <= l.Bounds.LotBytes
}
