package daemon

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-kit/log"

	"fernlink/config"
)

// Given a process that listens at one of a node's addresses, as the one before it may
// still do, when the node starts, then it fails and has not touched its data folder.
func TestAddressesAreCheckedBeforeTheFolder(t *testing.T) {
	earlier, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer earlier.Close()
	taken := earlier.Addr().String()
	for name, settings := range map[string]config.Config{
		"peers":          {Addr: taken, Web: "127.0.0.1:0"},
		"behind a relay": {Addr: "127.0.0.1:1", Listen: taken, Web: "127.0.0.1:0"},
		"administration": {Addr: "127.0.0.1:0", Web: taken},
	} {
		settings.Data = filepath.Join(t.TempDir(), "data")
		settings.Roles = []string{"store"}
		if _, err := openFolder(settings, Platform{}, Process{}, log.NewNopLogger()); err == nil {
			t.Errorf("%s: no error", name)
		}
		if _, err := os.Stat(settings.Data); !os.IsNotExist(err) {
			t.Errorf("%s: the folder was touched: %v", name, err)
		}
	}
}
