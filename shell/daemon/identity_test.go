package daemon

import (
	"testing"

	"github.com/go-kit/log"

	"fernlink/config"
)

// Given a node that keeps nothing, when it starts again at its address, then it
// has the same identity; one with another address, or a store, is somebody else.
func TestIdentityWithoutAFolder(t *testing.T) {
	id := func(addr string, roles ...string) string {
		f, err := openFolder(config.Config{Addr: addr, Roles: roles}, Platform{}, Process{}, log.NewNopLogger())
		if err != nil {
			t.Fatal(err)
		}
		return f.Identity.ID
	}
	one := id("10.0.0.1:7400", "dispatcher")
	if again := id("10.0.0.1:7400", "dispatcher"); again != one || len(one) != 16 {
		t.Errorf("%q, then %q", one, again)
	}
	if id("10.0.0.2:7400", "dispatcher") == one {
		t.Error("another address has the same identity")
	}
	for _, role := range []string{"store", "coordinator"} {
		first := id("10.0.0.1:7400", "dispatcher", role)
		second := id("10.0.0.1:7400", "dispatcher", role)
		if len(first) != 16 || first == second {
			t.Errorf("a blank %s is the same again", role)
		}
	}
}
