package config

import (
	"os"
	"path/filepath"
	"testing"
)

// Given a config file with the zone's old key, when it is read, then it counts as
// the zone, a flag goes over it, and a file with both keys is refused.
func TestOldKeyOfTheZoneIsRead(t *testing.T) {
	const rest = `"addr":"127.0.0.1:1","web":"127.0.0.1:2","seeds":["127.0.0.1:3"],"roles":["coordinator"]}`
	cases := []struct {
		keys, want string
		flags      map[string]any
	}{
		{`{"zone":"north",`, "north", nil},
		{`{"area":"north",`, "north", nil},
		{`{"area":"north",`, "south", map[string]any{"zone": "south"}},
	}
	for _, c := range cases {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(c.keys+rest), 0o600); err != nil {
			t.Fatal(err)
		}
		got, faults, err := Read(file, c.flags)
		if err != nil || len(faults) > 0 || got.Zone != c.want {
			t.Errorf("%s with flags %v: zone %q, faults %v, error %v", c.keys, c.flags, got.Zone, faults, err)
		}
	}
	_, faults, err := Check([]byte(`{"zone":"north","area":"south",` + rest))
	if err != nil || len(faults) != 1 || faults[0].At != "/area" {
		t.Errorf("both keys: faults %v, error %v", faults, err)
	}
}

// Given config with many faults, when they are checked, then each is told at
// its place.
func TestEveryFaultIsTold(t *testing.T) {
	cases := map[string][]string{
		`{"addr":"127.0.0.1:1","web":"127.0.0.1:2","zone":"a","seeds":["127.0.0.1:1"],"roles":["store"],"data":"x","keys_most":100,"key_hours":24,"result_minutes":2000,"open_steps":99}`: {"/keys_most", "/result_minutes", "/open_steps"},
		`{"addr":"here","web":"127.0.0.1:2","zone":"a","seeds":[],"roles":["cook"],"colour":1}`:                                                                                           {"/addr", "/colour", "/roles/0", "/seeds"},
		`{}`: {""},
		`{"addr":"127.0.0.1:1","web":"127.0.0.1:1","zone":"a","seeds":["127.0.0.1:99999"],"roles":["store","dispatcher"]}`:                                {"/seeds/0", "/web", "/data", "/platform"},
		`{"addr":"127.0.0.1:1","web":"127.0.0.1:2","zone":"a","seeds":["127.0.0.1:1"],"roles":["coordinator"],"policies_off":["rolout"]}`:                 {"/policies_off"},
		`{"addr":"127.0.0.1:1","web":"127.0.0.1:2","zone":"a","seeds":["127.0.0.1:1"],"roles":["store"],"data":"x","form":["127.0.0.1:3","127.0.0.1:4"]}`: {"/form", "/form"},
	}
	cases[`{"addr":"127.0.0.1:1","web":"127.0.0.1:2","zone":"a","seeds":["127.0.0.1:3"],"roles":["coordinator"],"front":"127.0.0.1:99999","ready":"999.0.0.1:1","control":"127.0.0.1:70000"}`] = []string{"/front", "/ready", "/control"}
	cases[`{"addr":"127.0.0.1:1","web":"127.0.0.1:2","zone":"a","seeds":["127.0.0.1:3"],"roles":["coordinator"],"front":"here","cpu_share":0,"list_rate":-1,"bounds":{"apply_ms":1.5,"ack_s":3},"zones":{"a":1}}`] = []string{"/front", "/cpu_share", "/list_rate", "/bounds/apply_ms", "/bounds/ack_s", "/zones/a"}
	for in, want := range cases {
		_, bad, err := Check([]byte(in))
		if err != nil {
			t.Errorf("%s: %v", in, err)
		}
		got := map[string]int{}
		for _, f := range bad {
			got[f.At]++
		}
		for _, at := range want {
			if got[at] == 0 {
				t.Errorf("%s: nothing told at %q: %v", in, at, bad)
			}
		}
	}
	if _, _, err := Check([]byte(`{`)); err == nil {
		t.Error("not JSON passed")
	}
	good := `{"addr":"127.0.0.1:1","web":"127.0.0.1:2","zone":"a","seeds":["127.0.0.1:3"],"roles":["dispatcher"],"platform":"http://127.0.0.1:9/engines"}`
	if p, bad, err := Check([]byte(good)); err != nil || len(bad) > 0 || p.Keep != Keep {
		t.Errorf("good config: %v %v", bad, err)
	}
}
