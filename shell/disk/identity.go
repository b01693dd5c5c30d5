package disk

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const identityFile = "identity"

// Identity is who this data folder makes its process (design 4.4).
type Identity struct {
	ID     string `json:"id"`
	Inc    int64  `json:"inc"`
	Logged bool   `json:"logged,omitempty"` // a log was opened under this identity
}

// Identify reads the identity, or makes one for a blank folder, and counts
// the start. A folder that has a log but no readable identity is damaged. One whose
// log is gone is somebody new: what it voted for and acknowledged is forgotten, so
// it may not be the old voter (design 4.4).
func Identify(files FS, fresh string, wall int64) (Identity, error) {
	names, err := files.List()
	if err != nil {
		return Identity{}, errors.Wrap(err, "disk: list")
	}
	id := Identity{ID: fresh}
	if slices.Contains(names, identityFile) {
		if id, err = readIdentity(files); err != nil {
			return id, err
		}
	} else if slices.ContainsFunc(names, func(name string) bool { return strings.HasSuffix(name, ".seg") }) {
		return id, errors.Wrap(ErrCorrupt, "a log without an identity")
	}
	if segments, _ := logFiles(names); id.Logged && len(segments) == 0 {
		id.ID, id.Logged = fresh, false
	}
	id.Inc = max(id.Inc+1, wall)
	return id, PutFile(files, identityFile, frame(id))
}

func readIdentity(fs FS) (id Identity, err error) {
	b, err := fs.Read(identityFile)
	if err != nil {
		return id, errors.Wrap(err, "disk: identity")
	}
	if _, ok := unframe(b, &id); !ok || id.ID == "" {
		return id, errors.Wrap(ErrCorrupt, "identity")
	}
	return id, nil
}

// markLogged notes that the folder's identity has a log, before it says anything.
func markLogged(files FS) error {
	names, err := files.List()
	if err != nil {
		return errors.Wrap(err, "disk: list")
	}
	if !slices.Contains(names, identityFile) {
		return nil
	}
	id, err := readIdentity(files)
	if err != nil || id.Logged {
		return err
	}
	id.Logged = true
	return PutFile(files, identityFile, frame(id))
}
