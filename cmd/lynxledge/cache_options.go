package main

import (
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
)

// Shares of the store's request rate that all controllers together may use to watch it, and to
// refresh their views for users' requests.
const (
	watchShare   = 0.3
	refreshShare = 0.2
)

// finishedJobsMemoryShare is the share of the memory beyond which finished jobs cause a warning
// to operators.
const finishedJobsMemoryShare = 0.15

// cacheOptions returns the cache's intervals, the sizes that it may write, and its callbacks.
func cacheOptions(cfg *config.Config, limits *storelimits.Tracker) statecache.Options {
	heartbeatInterval, store := cfg.Params.Workers.HeartbeatInterval, cfg.Params.Store
	return statecache.Options{
		ChunkTasks:              statecache.ChunkTasks(store.MaxValueKB),
		WatchHold:               5 * heartbeatInterval,
		MinWatchInterval:        minReadInterval(cfg, watchShare),
		MinRefreshInterval:      minReadInterval(cfg, refreshShare),
		MaxViewAge:              heartbeatInterval / 2,
		Backoff:                 heartbeatInterval / 30,
		WriteInterval:           config.Seconds(1 / store.WriteRate),
		MaxValueBytes:           store.ValueSizeLimit(),
		MaxCompletionChunkBytes: int(store.MaxValueKB * 1024),
		OnThrottled:             limits.ObserveThrottled,
		OnSizeRejected:          limits.ObserveSizeRejected,
		JobCountWarning:         jobCountWarning(cfg.Params.Resources),
	}
}

// minReadInterval returns the shortest time between two reads of each controller with which all
// controllers together stay within a share of the store's request rate.
func minReadInterval(cfg *config.Config, share float64) time.Duration {
	return config.Seconds(float64(len(cfg.Peers)+1) / (cfg.Params.Store.RequestRateLimit() * share))
}

// jobCountWarning returns the number of finished jobs that use finishedJobsMemoryShare of the
// memory.
func jobCountWarning(resources config.ControllerResources) int {
	return int(resources.MemoryMB * (1 << 20) * finishedJobsMemoryShare / statecache.FinishedJobBytes)
}
