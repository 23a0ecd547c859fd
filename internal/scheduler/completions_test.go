package scheduler

import (
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// No completions are moved out of a record that is large only because of its terminations, which the
// next write drops.
func TestCompactionIgnoresTerminations(t *testing.T) {
	withScheduler(t, map[string]int{"a": 30}, func(_ *statecache.Cache, s *Scheduler) {
		chunks := func(fill func(update *groupUpdate)) (n int) {
			inActor(s, func() {
				c := s.newCycle(time.Now(), 8, resources.Usage{})
				update := c.openGroup("a")
				fill(update)
				if update.EncodedSize() <= s.limits.valueBytes(compactionFillShare) {
					t.Error("the record has room")
				}
				c.compactCompletions(update)
				n = len(c.completionChunks)
			})
			return n
		}
		if n := chunks(func(update *groupUpdate) {
			update.MarkCompleted("req-000001", 1)
			for i := range 80 {
				update.Terminations = append(update.Terminations, statecache.Termination{Machine: "i-a000", Job: "req-000001", TaskIndex: 1000 + i, Reason: wire.ReasonCompleted, Runtime: 20.5})
			}
		}); n != 0 {
			t.Errorf("%d chunks for terminated tasks", n)
		}
		if n := chunks(func(update *groupUpdate) {
			for i := range 700 {
				update.MarkCompleted("req-000001", 2*i)
			}
		}); n != 1 {
			t.Errorf("%d chunks for 700 completions", n)
		}
	})
}

// Completions are added to whole chunks until the store rejects a size. After that those beyond what
// fits into a whole chunk are added to parts; so are all of a chunk that is already too large.
func TestCompletionsGoToPartsUnderALowerLimit(t *testing.T) {
	withScheduler(t, map[string]int{"a": 1}, func(_ *statecache.Cache, s *Scheduler) {
		inActor(s, func() {
			s.config.Params.Store.Upcoming = &config.UpcomingStoreLimits{WriteRate: 15, MaxValueKB: 1, MaxTxnOps: 4}
			s.storeLimits = &storelimits.Tracker{}
			part := statecache.TasksPerCompletionPart(1024)
			c := s.newCycle(time.Now(), 8, resources.Usage{})
			for _, task := range []int{0, part - 1, part, 9000} {
				if id := c.completionChunkFor("req-000001", task); id != (statecache.CompletionChunkID{FirstTask: statecache.WholeChunk}) {
					t.Errorf("before a size was rejected: task %d is added to %v", task, id)
				}
			}
			s.storeLimits.ObserveSizeRejected()
			for task, from := range map[int]int{0: statecache.WholeChunk, part - 1: statecache.WholeChunk, part: part, 9000: 9000 / part * part} {
				if id := c.completionChunkFor("req-000001", task); id != (statecache.CompletionChunkID{FirstTask: from}) {
					t.Errorf("after a size was rejected: task %d is added to %v", task, id)
				}
			}
			var whole *statecache.CompletionChunk
			s.view.CompletionChunks["req-000001"] = map[statecache.CompletionChunkID]*statecache.CompletionChunk{{FirstTask: statecache.WholeChunk}: whole.With(part + 100)}
			if id := c.completionChunkFor("req-000001", 0); id != (statecache.CompletionChunkID{FirstTask: 0}) {
				t.Errorf("with a whole chunk that is too large: task 0 is added to %v", id)
			}
		})
	})
}
