package statecache

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lynxledge/wire"
)

// The completion chunks of the largest job fit into values of any size limit, and hold exactly the
// completed tasks.
func TestCompletionChunksFitValueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valueKB := rapid.Float64Range(0.1, 64).Draw(t, "kb")
		v := NewView(ChunkTasks(valueKB))
		v.Apply(changeTo("req-000001", &Job{TaskCount: wire.MaxTasksPerJob}))
		want := map[int]bool{}
		for range 50 {
			task := rapid.IntRange(0, 99_999).Draw(t, "task")
			want[task] = true
			number, bit := v.CompletionChunkOf(task)
			id := CompletionChunkID{number, WholeChunk}
			chunk := v.CompletionChunks["req-000001"][id].With(bit)
			raw, _ := json.Marshal(chunk)
			if float64(len(raw)) > valueKB*1024 {
				t.Fatalf("%d bytes for a limit of %v KiB", len(raw), valueKB)
			}
			got, err := schemas[KindCompletionChunk].decode(v, completionChunkName("req-000001", id), raw, 1)
			if err != nil {
				t.Fatal(err)
			}
			v.Apply(changeTo(completionChunkName("req-000001", id), got))
		}
		if v.CompletedCount("req-000001") != len(want) {
			t.Fatalf("%d of %d", v.CompletedCount("req-000001"), len(want))
		}
		for task := range want {
			if !v.IsCompleted("req-000001", task) {
				t.Fatalf("%d lost", task)
			}
		}
	})
}

// A job of 100,000 tasks counts as completed when all its tasks have completed and not before,
// although some are in whole chunks, written under the present size limit, and others in parts of
// chunks, written after the limit was lowered. Both number tasks alike, whenever that happens.
func TestCompletionChunksAcrossLimitChange(t *testing.T) {
	for _, changeAt := range []int{0, 20_000, 61_000, limitChangeTasks} {
		for _, stride := range []int{1, 3001, 99_999} {
			completeAcrossLimitChange(t, changeAt, stride)
		}
	}
}

const (
	limitChangeTasks = 100_000
	presentValueKB   = 4.0
	loweredValueSize = 2048
)

// completeAcrossLimitChange completes all tasks in batches, in an order that stride determines. The
// limit is lowered once changeAt tasks have completed.
func completeAcrossLimitChange(t *testing.T, changeAt, stride int) {
	t.Helper()
	const batchSize, start = 1700, 12_345
	v := NewView(ChunkTasks(presentValueKB))
	v.Apply(changeTo("req-000001", &Job{TaskCount: limitChangeTasks}))
	part := TasksPerCompletionPart(loweredValueSize)
	if size := CompletionValueBytes(part); size > loweredValueSize {
		t.Fatalf("a part of %d tasks takes %d bytes", part, size)
	}
	completed := map[int]bool{}
	for k := 0; k < limitChangeTasks; k += batchSize {
		lowered := k >= changeAt
		bits := map[CompletionChunkID][]int{}
		for i := range min(batchSize, limitChangeTasks-k) {
			task := (start + (k+i)*stride) % limitChangeTasks
			completed[task] = true
			number, bit := v.CompletionChunkOf(task)
			id := CompletionChunkID{number, WholeChunk}
			if lowered {
				id.FirstTask = bit / part * part
			}
			bits[id] = append(bits[id], bit-max(0, id.FirstTask))
		}
		limit := map[bool]int{false: presentValueKB * 1024, true: loweredValueSize}[lowered]
		for _, id := range slices.SortedFunc(maps.Keys(bits), func(a, b CompletionChunkID) int { return a.Chunk - b.Chunk }) {
			storeChunk(t, v, id, bits[id], limit, uint64(k+1))
		}
		if v.CompletedCount("req-000001") != len(completed) || v.AllTasksCompleted("req-000001") != (len(completed) == limitChangeTasks) {
			t.Fatalf("%d tasks completed, %d counted", len(completed), v.CompletedCount("req-000001"))
		}
	}
	if !v.AllTasksCompleted("req-000001") {
		t.Fatalf("never completed: %d", v.CompletedCount("req-000001"))
	}
}

// storeChunk sets bits in a chunk, checks that its encoded size is within limit, and applies the
// decoded record.
func storeChunk(t *testing.T, v *View, id CompletionChunkID, bits []int, limit int, revision uint64) {
	t.Helper()
	raw, _ := json.Marshal(v.CompletionChunks["req-000001"][id].With(bits...))
	if len(raw) > limit {
		t.Fatalf("%d bytes of %d", len(raw), limit)
	}
	chunk := CompletionChunk{ModRevision: revision}
	if err := json.Unmarshal(raw, &chunk); err != nil {
		t.Fatal(err)
	}
	v.Apply(changeTo(completionChunkName("req-000001", id), &chunk))
}
