package standin

import (
	"github.com/pkg/errors"

	"fernlink/core/ledger"
)

// CheckEntry checks one listed result against the stand-ins' truth.
func CheckEntry(doc ledger.StepDoc, entry ledger.Entry, stop int) error {
	var group ledger.Group
	for _, x := range doc.Groups {
		if x.ID == entry.Group {
			group = x
		}
	}
	rev := func(at int) int {
		for _, s := range entry.Spans {
			if at >= s.From && at < s.To {
				return s.Revision
			}
		}
		return -1
	}
	for _, s := range entry.Spans {
		if s.Revision < doc.Revision-doc.Lag || s.Revision > doc.Revision || doc.OneVersion && s.Revision != doc.Revision {
			return errors.Errorf("made under weights %d, step allows %d back from %d", s.Revision, doc.Lag, doc.Revision)
		}
	}
	if err := Check(group.Prompt, entry.Text, entry.Sample, group.Tokens, stop, rev); err != nil {
		return err
	}
	if entry.Verdict.State == "given" && string(entry.Verdict.Score) != Score(entry.Text) {
		return errors.New("a verdict that the judge never gave on this text")
	}
	return nil
}
