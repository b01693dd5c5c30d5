package coord

import (
	"bytes"
	"fmt"
	"hash/crc32"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/index/gate"
	"fernlink/core/index/view"
)

// checkpointFile is what is saved: views with their order of use, the gate's cursors and
// the journal's offset, together.
type checkpointFile struct {
	Cluster string      `json:"cluster"`
	Term    uint64      `json:"term"`
	Offset  uint64      `json:"offset"`
	Gate    *gate.Gate  `json:"gate"`
	Views   *view.Views `json:"views"`
}

// File is the checkpoint's file name in the data folder.
const File = "index.ckpt"

// checkpoint writes the index to the data folder: a line with checksum and length, then
// JSON.
func (c *Coord) checkpoint() {
	body, err := json.Marshal(checkpointFile{c.cluster, c.term, c.journal.Offset, c.gate, c.views})
	if err != nil {
		flow.Warn.Note(c.outbox, "coord", "checkpoint failed", "failure", err.Error())
		return
	}
	head := fmt.Sprintf("%08x %d\n", crc32.ChecksumIEEE(body), len(body))
	c.config.File = append([]byte(head), body...)
	c.outbox.Files = append(c.outbox.Files, flow.File{Name: File, Body: c.config.File})
	c.passedAt["checkpoint"] = c.now
}

// restore reads the checkpoint; a corrupt or foreign one is a cold start.
func (c *Coord) restore() {
	c.coldStart = true
	if len(c.config.File) == 0 {
		return
	}
	body, ok := checkedBody(c.config.File)
	if !ok {
		flow.Warn.Note(c.outbox, "coord", "checkpoint is corrupt, starting cold")
		return
	}
	saved := checkpointFile{Gate: gate.New(), Views: view.New()}
	err := json.Unmarshal(body, &saved)
	if err != nil || saved.Cluster != c.cluster || saved.Gate == nil || saved.Views == nil {
		flow.Warn.Note(c.outbox, "coord", "checkpoint is of another cluster or form, starting cold")
		return
	}
	c.gate, c.views = saved.Gate, saved.Views
	c.journal.Offset = saved.Offset
	for _, row := range c.views.Registry {
		row.At = c.now
	}
	c.coldStart = false
}

// checkedBody gives a checkpoint's JSON if it is as long as its first line says and has
// the checksum that stands there.
func checkedBody(file []byte) ([]byte, bool) {
	head, body, found := bytes.Cut(file, []byte("\n"))
	var sum uint32
	var size int
	if _, err := fmt.Sscanf(string(head), "%08x %d", &sum, &size); err != nil || !found {
		return nil, false
	}
	return body, size == len(body) && crc32.ChecksumIEEE(body) == sum
}
