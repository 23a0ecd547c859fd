package apiserver

import (
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/config"
	"lynxledge/internal/storelimits"
)

// admissionRateFactor is what all controllers together may use for new jobs, as a multiple of
// the store's write rate. Jobs come seldom but for the first seconds; to know all the work early
// is then worth more than to provision for a part of it some seconds sooner. More than the rate
// would only be refused.
const admissionRateFactor = 1.2

// admissionRate is this controller's part.
func admissionRate(cfg *config.Config, limits *storelimits.Tracker) rate.Limit {
	return rate.Limit(limits.WriteRate(&cfg.Params.Store) * admissionRateFactor / float64(len(cfg.Peers)+1))
}

func newAdmissionLimiter(cfg *config.Config, limits *storelimits.Tracker) *rate.Limiter {
	perSecond := admissionRate(cfg, limits)
	return rate.NewLimiter(perSecond, 1+int(2*perSecond))
}

// admissionRate is the rate in force now.
func (s *Server) admissionRate() rate.Limit { return admissionRate(s.config, s.storeLimits) }

// allowAdmission tells whether a job may be written now: a crowd of users must not take all the
// writes.
func (s *Server) allowAdmission() bool {
	s.admissionLimiter.SetLimit(s.admissionRate())
	return s.admissionLimiter.Allow()
}

// queued refuses a submission that can't be served now, and gives its user a place in the
// admission queue.
func (s *Server) queued(status int, text string) *refusal {
	return &refusal{status: status, text: text, retryAfter: s.admissionQueue.next(time.Now(), float64(s.admissionRate()))}
}
