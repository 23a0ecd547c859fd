package config

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"
)

const validSettings = `
member = "n0"
area = "a"
client_listen = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
later_field = { x = 1 }
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
[[params.teams]]
name = "red"
cpus = 8.0
[[params.objectives]]
kind = "finished"
class = "c"
within_s = 150.0
[[params.objectives]]
kind = "finished"
class = "c"
within_s = 100.0
[[params.objectives]]
kind = "deadline"
class = "d"
times = 1.75
[[params.objectives]]
kind = "wait"
class = "w"
within_s = 120.0
[[params.objectives]]
kind = "wait"
class = "d"
within_s = 1.0
[params.workers]
report_s = 3.0
lease_s = 34.0
cancel_s = 64.0
[params.state]
rps = 150.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 3.0
list_lag_s = 10.0
[params.resources]
cpu = 0.1
memory_mb = 70.0
`

// A single invalid field is rejected with an error that names it.
func TestWrongSettingsAreNamed(t *testing.T) {
	if _, err := Parse(validSettings); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, names string }{
		{`member = "n0"`, ``, "member"},
		{`"127.0.0.1:1"`, `"nowhere"`, "client_listen"},
		{`cloud = "127.0.0.1:3"`, ``, "external.cloud"},
		{`report_s = 3.0`, `report_s = 0`, "report_s"},
		{`rps = 150.0`, `rps = -1.0`, "params.state.rps"},
		{`lease_s = 34.0`, `lease_s = 64.0`, "cancel_s"},
		{`lease_s = 34.0`, `lease_s = 2.0`, "lease_s"},
		{`txn_ops = 8`, `txn_ops = 1`, "txn_ops"},
		{`txn_ops = 8`, `txn_ops = "x"`, "txn_ops"},
		{`value_kb = 8.0`, `value_kb = 0.25`, "value_kb"},
		{`cpus = 8.0`, `cpus = -8.0`, "params.teams[0]"},
		{`name = "red"`, ``, "params.teams[0].name"},
		{`rps = 3.0`, `rps = 0.0`, "params.cloud.rps"},
		{`memory_mb = 70.0`, ``, "memory_mb"},
		{`memory_mb = 70.0`, `memory_mb = -1.0`, "params.resources.memory_mb"},
		{`cpu = 0.1`, `cpu = 0.0`, "params.resources.cpu"},
		{`cpu = 0.1`, `cpu = -0.1`, "params.resources.cpu"},
	} {
		_, err := Parse(strings.Replace(validSettings, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s -> %s: %v", c.old, c.new, err)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml"), ""); err == nil || !strings.Contains(err.Error(), "does not exist") {
		t.Errorf("missing file: %v", err)
	}
}

// Resources that are too small give warnings that name them, not errors.
func TestSmallResourcesGiveWarnings(t *testing.T) {
	for _, c := range []struct {
		resources ControllerResources
		want      []string
	}{
		{ControllerResources{CPUs: 0.029, MemoryMB: 49}, nil},
		{ControllerResources{CPUs: 0.001, MemoryMB: 49}, []string{"params.resources.cpu<0.02"}},
		{ControllerResources{CPUs: 0.001, MemoryMB: 16}, []string{"params.resources.cpu<0.02", "params.resources.memory_mb<40"}},
		{ControllerResources{CPUs: 0.029, MemoryMB: 49, FileDescriptorLimit: 800}, nil},
		{ControllerResources{CPUs: 0.029, MemoryMB: 49, FileDescriptorLimit: 99}, []string{"params.resources.fd_limit<100"}},
	} {
		if got := c.resources.Warnings(); !slices.Equal(got, c.want) {
			t.Errorf("%+v: %v, not %v", c.resources, got, c.want)
		}
	}
	slow, err := Parse(strings.Replace(validSettings, "rps = 150.0", "rps = 2.0", 1))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := slow.Warnings(), []string{"params.state.rps<4"}; !slices.Equal(got, want) {
		t.Errorf("a store too slow for lease renewals: %v, not %v", got, want)
	}
	small := strings.NewReplacer("cpu = 0.1", "cpu = 0.001", "memory_mb = 70.0", "memory_mb = 1.0").Replace(validSettings)
	if _, err := Parse(small); err != nil {
		t.Errorf("too small resources give an error: %v", err)
	}
}

// Upcoming store limits are optional and validated if present. Of the current and the upcoming
// size limits the smaller ones apply from the start.
func TestUpcomingStoreLimits(t *testing.T) {
	with := func(next string) (*Config, error) {
		return Parse(strings.Replace(validSettings, "[params.cloud]", "[params.state.next]\n"+next+"\n[params.cloud]", 1))
	}
	c, err := with("write_rps = 35.0\nvalue_kb = 2.0\ntxn_ops = 24")
	if err != nil || c.Params.Store.ValueSizeLimit() != 2048 || c.Params.Store.TxnOpsLimit() != 8 {
		t.Errorf("%v: %d bytes, %d writes", err, c.Params.Store.ValueSizeLimit(), c.Params.Store.TxnOpsLimit())
	}
	for next, names := range map[string]string{
		"": "params.state.next.write_rps", "write_rps = 35.0\nvalue_kb = 2.0": "params.state.next.txn_ops", "write_rps = 35.0\ntxn_ops = 8": "params.state.next.value_kb",
		"write_rps = 0.0\nvalue_kb = 2.0\ntxn_ops = 8": "params.state.next.write_rps", "write_rps = 5.0\nvalue_kb = 0.5\ntxn_ops = 8": "params.state.next.value_kb",
		"write_rps = 5.0\nvalue_kb = 2.0\ntxn_ops = 3": "params.state.next.txn_ops", "rps = 0.0\nwrite_rps = 5.0\nvalue_kb = 2.0\ntxn_ops = 8": "params.state.next.rps",
	} {
		if _, err := with(next); err == nil || !strings.Contains(err.Error(), names) {
			t.Errorf("%q: %v", next, err)
		}
	}
}

func seconds(ns ...int) []time.Duration {
	var list []time.Duration
	for _, n := range ns {
		list = append(list, time.Duration(n)*time.Second)
	}
	return list
}

func TestDeadlines(t *testing.T) {
	c, err := Parse(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	ownDeadline := 40 * time.Second
	for _, x := range []struct {
		class       string
		ownDeadline *time.Duration
		want        []time.Duration
	}{
		{"c", nil, seconds(100, 150)}, {"c", &ownDeadline, seconds(40, 100, 150)}, {"d", &ownDeadline, seconds(40, 70)},
		{"w", &ownDeadline, seconds(40, 127)}, // a new machine can meet the start objective of 120 s; the runtime is 7 s
		{"other", nil, []time.Duration{c.Operator.DefaultDeadline}},
	} {
		if got := c.Deadlines(x.class, x.ownDeadline, 7*time.Second, 0); !slices.Equal(got, x.want) {
			t.Errorf("%s: %v, want %v", x.class, got, x.want)
		}
	}
	// The time that a job waited for its dependencies shortens only its own deadline.
	if got, want := c.Deadlines("w", &ownDeadline, 7*time.Second, 30*time.Second), seconds(10, 127); !slices.Equal(got, want) {
		t.Errorf("after a wait: %v, want %v", got, want)
	}
}

func TestOperatorsSettings(t *testing.T) {
	if o, err := ParseOperatorSettings(operatorSettingsDefaults); err != nil || o != DefaultOperatorSettings() {
		t.Fatalf("the embedded defaults don't conform to the schema or differ from DefaultOperatorSettings: %v", err)
	}
	for body, names := range map[string]string{
		`{"pass_s": "5"}`: "/pass_s", `{"pass_s": 0}`: "/pass_s", `{"state_share": 2}`: "/state_share", `{"passs": 5}`: "passs",
		`[]`: "/", `{`: "not JSON",
	} {
		if _, err := ParseOperatorSettings([]byte(body)); err == nil || !strings.Contains(err.Error(), names) {
			t.Errorf("%s: %v", body, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		want := DefaultOperatorSettings()
		interval := rapid.Float64Range(1, 300).Draw(t, "interval")
		want.PlanningInterval = time.Duration(math.Round(interval * 1e9))
		b, _ := json.Marshal(map[string]any{"pass_s": interval})
		if got, err := ParseOperatorSettings(b); err != nil || got != want {
			t.Fatalf("%s: %+v %v", b, got, err)
		}
	})
	path := filepath.Join(t.TempDir(), "c.toml")
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path, path); err == nil {
		t.Error("a TOML file was accepted as operators' settings")
	}
}
