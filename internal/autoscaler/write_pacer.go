package autoscaler

import (
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/config"
	"lynxledge/internal/storelimits"
)

// writePacer keeps the leader's commits within its part of the store's write rate: what the
// schedulers' share leaves.
type writePacer struct {
	config  *config.Config
	limits  *storelimits.Tracker
	limiter *rate.Limiter
}

func newWritePacer(cfg *config.Config, limits *storelimits.Tracker) *writePacer {
	leaderRate := cfg.Params.Store.WriteRate * (1 - cfg.Operator.SchedulerWriteShare)
	return &writePacer{
		config:  cfg,
		limits:  limits,
		limiter: rate.NewLimiter(rate.Limit(leaderRate), cfg.Params.Store.TxnOpsLimit()),
	}
}

// reserve takes so many writes out of the rate that is in force now, and returns for how long
// to wait before they are made.
func (p *writePacer) reserve(writes int) time.Duration {
	leaderRate := p.limits.WriteRate(&p.config.Params.Store) * (1 - p.config.Operator.SchedulerWriteShare)
	p.limiter.SetLimit(rate.Limit(leaderRate))
	return p.limiter.ReserveN(time.Now(), min(writes, p.limiter.Burst())).Delay()
}

// available returns how many writes may be made at once; negative while reserved ones wait.
func (p *writePacer) available() int { return int(p.limiter.Tokens()) }

// timeFor returns the time in which so many more writes become available.
func (p *writePacer) timeFor(writes int) time.Duration {
	return config.Seconds(float64(writes) / float64(p.limiter.Limit()))
}
