package scheduler

import (
	"testing"
	"time"

	"lynxledge/internal/config"
)

// The scheduler may use the writes that others leave unused, never less than its own share, and its
// own writes don't count as others'.
func TestBudgetIsWhatOthersLeave(t *testing.T) {
	const limit = 20.0
	for _, test := range []struct {
		name   string
		others int // writes a second
		want   float64
	}{
		{"others are quiet", 0, usableShare * limit},
		{"others write little", 2, usableShare*limit - 2},
		{"others use their share", 5, 0.75 * limit},
		{"others use more", 12, 0.75 * limit},
	} {
		cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
		cfg.Params.Store.WriteRate = limit
		cfg.Params.Workers.HeartbeatInterval = 8 * time.Second / writeMeterHeartbeats
		budget := newWriteBudget(cfg, nil)
		now := time.Now()
		for range 60 {
			now = now.Add(time.Second)
			budget.pendingOwn = 8
			budget.observe(8, now)
			budget.observe(test.others, now)
		}
		// The moving average is slightly too high right after writes were counted.
		if got := budget.rate(now); got > test.want+0.01*limit || got < test.want-0.04*limit {
			t.Errorf("%s: %.2f writes a second, want about %.2f", test.name, got, test.want)
		}
		if got := budget.rate(now.Add(time.Minute)); got < usableShare*limit-0.1 {
			t.Errorf("%s: %.2f writes a second a minute later", test.name, got)
		}
	}
}
