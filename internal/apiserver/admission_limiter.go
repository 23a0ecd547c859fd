package apiserver

import (
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/config"
	"lynxledge/internal/storelimits"
)

// admissionRateFactor is the rate at which all controllers together admit jobs, as a multiple of
// the store's write rate. Jobs are rare except in the first seconds, when learning of all the work
// early is worth more than writes that provision for part of it a few seconds sooner. A higher
// rate would only be throttled by the store.
const admissionRateFactor = 1.2

// admissionRate returns this controller's share of the admission rate, in jobs per second.
func admissionRate(cfg *config.Config, limits *storelimits.Tracker) rate.Limit {
	return rate.Limit(limits.WriteRate(&cfg.Params.Store) * admissionRateFactor / float64(len(cfg.Peers)+1))
}

func newAdmissionLimiter(cfg *config.Config, limits *storelimits.Tracker) *rate.Limiter {
	perSecond := admissionRate(cfg, limits)
	return rate.NewLimiter(perSecond, 1+int(2*perSecond))
}

// admissionRate returns this controller's share under the store limits in force now.
func (s *Server) admissionRate() rate.Limit { return admissionRate(s.config, s.storeLimits) }

// allowAdmission reports whether a job may be written now. It keeps a burst of submissions from
// taking all of the store's writes.
func (s *Server) allowAdmission() bool {
	s.admissionLimiter.SetLimit(s.admissionRate())
	return s.admissionLimiter.Allow()
}

// retryLater returns the error for a submission that can't be served now, with a Retry-After
// from the retry schedule.
func (s *Server) retryLater(status int, text string) *httpError {
	return &httpError{status: status, text: text, retryAfter: s.retrySchedule.nextDelay(time.Now(), float64(s.admissionRate()))}
}
