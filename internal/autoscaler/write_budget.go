package autoscaler

import (
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/config"
	"lynxledge/internal/storelimits"
)

// writeBudget limits the leader's writes to its share of the store's write rate, which is what the
// schedulers' share leaves.
type writeBudget struct {
	config      *config.Config
	storeLimits *storelimits.Tracker
	limiter     *rate.Limiter
}

func newWriteBudget(cfg *config.Config, storeLimits *storelimits.Tracker) *writeBudget {
	leaderRate := cfg.Params.Store.WriteRate * (1 - cfg.Operator.SchedulerWriteShare)
	return &writeBudget{
		config:      cfg,
		storeLimits: storeLimits,
		limiter:     rate.NewLimiter(rate.Limit(leaderRate), cfg.Params.Store.TxnOpsLimit()),
	}
}

// reserve reserves writes at the rate that is in force now, and returns how long to wait before
// making them.
func (b *writeBudget) reserve(writes int) time.Duration {
	leaderRate := b.storeLimits.WriteRate(&b.config.Params.Store) * (1 - b.config.Operator.SchedulerWriteShare)
	b.limiter.SetLimit(rate.Limit(leaderRate))
	return b.limiter.ReserveN(time.Now(), min(writes, b.limiter.Burst())).Delay()
}

// available returns how many writes may be made immediately. It is negative while reserved writes
// wait for their time.
func (b *writeBudget) available() int { return int(b.limiter.Tokens()) }

// refillTime returns how long it takes until that many more writes are available.
func (b *writeBudget) refillTime(writes int) time.Duration {
	return config.Seconds(float64(writes) / float64(b.limiter.Limit()))
}
