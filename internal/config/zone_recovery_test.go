package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// The section enables the feature, even if it is empty: missing fields get their defaults. Errors
// name its invalid fields.
func TestZoneRecoverySection(t *testing.T) {
	if o := DefaultOperatorSettings(); o.ZoneRecovery != nil {
		t.Error("enabled by default")
	}
	o, err := ParseOperatorSettings([]byte(`{"zone_recovery": {}}`))
	if err != nil || !reflect.DeepEqual(*o.ZoneRecovery, DefaultZoneRecovery()) {
		t.Errorf("%+v %v", o.ZoneRecovery, err)
	}
	o, err = ParseOperatorSettings([]byte(`{"zone_recovery": {"steps": [0.5], "min_machines": 9}}`))
	if want := DefaultZoneRecovery(); err != nil || len(o.ZoneRecovery.AdmissionSteps) != 1 || o.ZoneRecovery.MinMachines != 9 || o.ZoneRecovery.LostShare != want.LostShare {
		t.Errorf("%+v %v", o.ZoneRecovery, err)
	}
	for body, field := range map[string]string{
		`null`:                                  "zone_recovery",
		`{"lost_shares": 0.5}`:                  "lost_shares",
		`{"lost_share": 1.5}`:                   "lost_share",
		`{"lost_share": 0}`:                     "lost_share",
		`{"lost_share": 0.2}`:                   "lost_share",
		`{"degraded_share": -0.1}`:              "degraded_share",
		`{"return_share": 0.7}`:                 "return_share",
		`{"steps": []}`:                         "steps",
		`{"steps": [0.5, 0.5]}`:                 "steps/1",
		`{"steps": [0.5, 0.25]}`:                "steps/1",
		`{"steps": [0.5, 2]}`:                   "steps",
		`{"step_leases": -1}`:                   "step_leases",
		`{"silence_reports": -1}`:               "silence_reports",
		`{"proof_reports": -2}`:                 "proof_reports",
		`{"confirm_reports": -2}`:               "confirm_reports",
		`{"min_machines": 2.5}`:                 "min_machines",
		`{"hold_down_leases": -1}`:              "hold_down_leases",
		`{"hold_down_max_leases": 0.1}`:         "hold_down_max_leases",
		`{"evacuate_leases": 0.9}`:              "evacuate_leases",
		`{"flap_memory_leases": "x"}`:           "flap_memory_leases",
		`{"hold_down_leases": 1, "steps": "x"}`: "steps",
	} {
		if _, err := ParseOperatorSettings([]byte(`{"zone_recovery": ` + body + `}`)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// Settings must not withhold a recovered zone from work for longer than two leases, nor evacuate
// machines within a lease and a heartbeat interval. Both depend on the deployment's timings and
// are checked when both files are loaded.
func TestZoneRecoveryFitsTheDeployment(t *testing.T) {
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	platform := write("c.toml", validSettings)
	if c, err := Load(platform, write("o.json", `{"zone_recovery": {}}`)); err != nil || c.Operator.ZoneRecovery == nil {
		t.Error(err)
	}
	_, err := Load(platform, write("o.json", `{"zone_recovery": {"hold_down_max_leases": 1.8}}`))
	if err == nil || !strings.Contains(err.Error(), "zone_recovery") {
		t.Errorf("zone withheld for too long: %v", err)
	}
	_, err = Load(platform, write("o.json", `{"zone_recovery": {"evacuate_leases": 1.05}}`))
	if err == nil || !strings.Contains(err.Error(), "evacuate_leases") {
		t.Errorf("evacuated within a lease and a heartbeat interval: %v", err)
	}
	for _, file := range []string{"growth.json", "operators.json"} {
		if _, err := Load(platform, "../../deploy/"+file); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}
