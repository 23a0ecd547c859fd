package config

import (
	"slices"
	"strings"
	"testing"
)

// The section enables early failover. Errors name its invalid fields. A warning names the settings
// if failure detection takes longer than a failover should.
func TestStandbySection(t *testing.T) {
	if DefaultOperatorSettings().Standby != nil {
		t.Error("enabled by default")
	}
	o, err := ParseOperatorSettings([]byte(`{"standby": {"failed_beats": 3}}`))
	if want := DefaultStandby(); err != nil || o.Standby.FailedAfterHeartbeats != 3 || o.Standby.HeartbeatIntervalMultiple != want.HeartbeatIntervalMultiple {
		t.Errorf("%+v %v", o.Standby, err)
	}
	for body, field := range map[string]string{
		`null`:                      "standby",
		`{"beats": 2}`:              "beats",
		`{"heartbeat_reports": 0}`:  "heartbeat_reports",
		`{"suspect_beats": 1}`:      "suspect_beats",
		`{"failed_beats": -1}`:      "failed_beats",
		`{"hold_down_reports": -1}`: "hold_down_reports",
		`{"hold_down_reports": 9, "hold_down_max_reports": 8}`: "hold_down_max_reports",
	} {
		if _, err := ParseOperatorSettings([]byte(`{"standby": ` + body + `}`)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", body, err)
		}
	}
	c, err := Parse(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	section := DefaultStandby()
	c.Operator.Standby = &section
	if w := c.Warnings(); len(w) > 0 {
		t.Errorf("warnings about valid settings: %v", w)
	}
	section.FailedAfterHeartbeats = 20
	if w := c.Warnings(); !slices.ContainsFunc(w, func(s string) bool { return strings.Contains(s, "standby") }) {
		t.Errorf("no warning: %v", w)
	}
}
