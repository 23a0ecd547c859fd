package config

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RequestRate float64 `toml:"rps"`
	WriteRate   float64 `toml:"write_rps"`
	MaxValueKB  float64 `toml:"value_kb"`
	MaxTxnOps   int     `toml:"txn_ops"`
	// Upcoming holds limits that replace these at an unknown later time, without notice; nil:
	// none.
	Upcoming *UpcomingStoreLimits `toml:"next"`
}

// UpcomingStoreLimits holds the limits that will replace the current ones.
type UpcomingStoreLimits struct {
	RequestRate *float64 `toml:"rps"` // nil: unchanged
	WriteRate   float64  `toml:"write_rps"`
	MaxValueKB  float64  `toml:"value_kb"`
	MaxTxnOps   int      `toml:"txn_ops"`
}

// ValueSizeLimit returns the largest value size in bytes that both the current and the upcoming
// limits allow. All values except completion chunks are written within it, also before the upcoming
// limits are in force.
func (s *StoreLimits) ValueSizeLimit() int {
	kb := s.MaxValueKB
	if s.Upcoming != nil {
		kb = min(kb, s.Upcoming.MaxValueKB)
	}
	return int(kb * 1024)
}

// RequestRateLimit returns the highest request rate that both the current and the upcoming limits
// allow.
func (s *StoreLimits) RequestRateLimit() float64 {
	if s.Upcoming != nil && s.Upcoming.RequestRate != nil {
		return min(s.RequestRate, *s.Upcoming.RequestRate)
	}
	return s.RequestRate
}

// TxnOpsLimit returns the largest number of writes in a transaction that both the current and the
// upcoming limits allow.
func (s *StoreLimits) TxnOpsLimit() int {
	if s.Upcoming != nil {
		return min(s.MaxTxnOps, s.Upcoming.MaxTxnOps)
	}
	return s.MaxTxnOps
}
