package config

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Multiples of a duration from the settings differ by at most a nanosecond from multiples of the
// number in the file, if that is a whole number of microseconds.
func TestMultiplesKeepTheSettingsPrecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := float64(rapid.IntRange(1, 600e6).Draw(t, "microseconds")) / 1e6
		n := rapid.Float64Range(0, 100).Draw(t, "multiple")
		got := WorkerTimings{HeartbeatInterval: durationFromSettings(interval, time.Second)}.Heartbeats(n)
		if want := time.Duration(interval * n * float64(time.Second)); (got - want).Abs() > 1 {
			t.Fatalf("%v times %v s: %v, not %v", n, interval, got, want)
		}
	})
}

func TestDurationsAreLimited(t *testing.T) {
	for _, c := range []struct {
		seconds float64
		want    time.Duration
	}{
		{0, 0}, {-1, -time.Second}, {1.5, 1500 * time.Millisecond}, {0.1, 100 * time.Millisecond}, {1e-12, 1}, {math.NaN(), 0},
		{math.Inf(1), MaxDuration}, {math.Inf(-1), -MaxDuration}, {1e300, MaxDuration}, {-1e300, -MaxDuration},
	} {
		if got := durationFromSettings(c.seconds, time.Second); got != c.want {
			t.Errorf("%v s: %v, not %v", c.seconds, got, c.want)
		}
	}
	for ms, want := range map[int64]time.Duration{-7: -7 * time.Millisecond, 90: 90 * time.Millisecond, math.MaxInt64: MaxDuration.Truncate(time.Millisecond), math.MinInt64: -MaxDuration.Truncate(time.Millisecond)} {
		if got := Milliseconds(ms); got != want {
			t.Errorf("%d ms: %v, not %v", ms, got, want)
		}
	}
}

// NaN and infinite durations are rejected where a duration must be above 0. Errors name the field
// by its path in the settings file.
func TestFieldErrors(t *testing.T) {
	for _, c := range []struct{ old, new, field, message string }{
		{`report_s = 3.0`, `report_s = nan`, "params.workers.report_s", "params.workers.report_s must be more than 0"},
		{`lease_s = 34.0`, `lease_s = inf`, "params.workers.lease_s", "params.workers.lease_s must be more than 0"},
		{`list_lag_s = 10.0`, `list_lag_s = inf`, "params.cloud.list_lag_s", "params.cloud.list_lag_s must be more than 0"},
		{`member = "n0"`, ``, "member", "member is missing"},
		{`"127.0.0.1:1"`, `"x"`, "client_listen", `client_listen: "x" is not host:port`},
		{`cpus = 8.0`, `cpus = -8.0`, "params.teams[0]", "params.teams[0]: an amount is negative"},
		{`cancel_s = 64.0`, `cancel_s = 40.0`, "params.workers.cancel_s", "params.workers.cancel_s must be longer than lease_s by more than two report_s: cancellations could not be kept"},
	} {
		_, err := Parse(strings.Replace(validSettings, c.old, c.new, 1))
		var invalid *FieldError
		if !errors.As(err, &invalid) || invalid.Field != c.field || err.Error() != c.message {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	_, err := ParseOperatorSettings([]byte(`{"standby": {"hold_down_reports": 9, "hold_down_max_reports": 8}}`))
	var invalid *FieldError
	if !errors.As(err, &invalid) || invalid.Field != "/standby/hold_down_max_reports" || err.Error() != "/standby/hold_down_max_reports must not be below hold_down_reports" {
		t.Errorf("section: %v", err)
	}
	var schema *SchemaError
	if _, err := ParseOperatorSettings([]byte(`{"pass_s": 0}`)); !errors.As(err, &schema) {
		t.Errorf("schema: %v", err)
	}
	if _, err := Parse(validSettings + "[[params.objectives]]\nkind = \"wait\"\nwithin_s = inf\n[[params.objectives]]\nkind = \"up\"\n"); err != nil {
		t.Errorf("objectives without a class or with an infinite bound are no longer accepted: %v", err)
	}
}
