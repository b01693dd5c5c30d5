package standin

import (
	"github.com/pkg/errors"

	"fernlink/core/ledger"
)

// CheckEntry checks one listed result against the stand-ins' truth.
func CheckEntry(doc ledger.StepDoc, e ledger.Entry, stop int) error {
	var g ledger.Group
	for _, x := range doc.Groups {
		if x.ID == e.Group {
			g = x
		}
	}
	rev := func(at int) int {
		for _, s := range e.Spans {
			if at >= s.From && at < s.To {
				return s.Revision
			}
		}
		return -1
	}
	for _, s := range e.Spans {
		if s.Revision < doc.Revision-doc.Lag || s.Revision > doc.Revision || doc.OneVersion && s.Revision != doc.Revision {
			return errors.Errorf("made under weights %d, step allows %d back from %d", s.Revision, doc.Lag, doc.Revision)
		}
	}
	if err := Check(g.Prompt, e.Text, e.Sample, g.Tokens, stop, rev); err != nil {
		return err
	}
	if e.Verdict.State == "given" && string(e.Verdict.Score) != Score(e.Text) {
		return errors.New("a verdict that the judge never gave on this text")
	}
	return nil
}
