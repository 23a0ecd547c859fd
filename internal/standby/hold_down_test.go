package standby

import (
	"testing"
	"time"

	"lynxledge/internal/config"
)

// Each refutation doubles the duration of the hold-down up to the maximum, without an overflow
// after many refutations.
func TestHoldDownDoublesWithRefutations(t *testing.T) {
	cfg := &config.Config{}
	cfg.Params.Workers.HeartbeatInterval = time.Second
	cfg.Operator.Standby = &config.Standby{HoldDownHeartbeats: 5, MaxHoldDownHeartbeats: 80}
	s := &Standby{config: cfg, holdDowns: map[string]*holdDown{}}
	now := time.Unix(1000, 0)
	for i, want := range []time.Duration{5, 10, 20, 40, 80, 80} {
		s.refuteVerdict(now, "n1")
		if h := s.holdDowns["n1"]; h.refutations != i+1 || h.until.Sub(now) != want*time.Second {
			t.Errorf("refutation %d: held down for %v, %d refutations", i+1, h.until.Sub(now), h.refutations)
		}
	}
	if got := s.holdDownAfter(1000); got != 80*time.Second || s.maxHoldDown() != got {
		t.Errorf("after 1000 refutations: %v", got)
	}
	if h := s.holdDowns["n1"]; !h.active(now) || h.active(h.until) || s.holdDowns["n2"].active(now) {
		t.Error("hold-down not active from its start until its end, or active for another member")
	}
}
