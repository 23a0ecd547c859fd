package statecache

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"lynxledge/wire"
)

// CompletionChunk is a part of the set of a job's completed tasks, one bit a task.
type CompletionChunk struct {
	Bits        []byte
	ModRevision uint64
}

// CompletionChunkID identifies a chunk of a job's completed tasks: a whole chunk, whose bits
// count from its first task, or a part of one, whose bits count from a task in it. Chunks are
// numbered by the size that values had when the cluster began, which every version shares;
// parts are for limits that a whole chunk exceeds. A version that does not know parts leaves
// them alone.
type CompletionChunkID struct{ Chunk, FirstTask int }

// WholeChunk is the FirstTask of a whole chunk.
const WholeChunk = -1

// CompletionChunkKey returns the key of a chunk.
func CompletionChunkKey(job wire.JobID, id CompletionChunkID) string {
	return Key(KindCompletionChunk, completionChunkName(job, id))
}

func completionChunkName(job wire.JobID, id CompletionChunkID) string {
	if id.FirstTask == WholeChunk {
		return fmt.Sprintf("%s/%04d", job, id.Chunk)
	}
	return fmt.Sprintf("%s/%04d.%d", job, id.Chunk, id.FirstTask)
}

// parseCompletionChunkName splits the name of a chunk's record.
func parseCompletionChunkName(name string) (job wire.JobID, id CompletionChunkID, ok bool) {
	jobName, number, found := strings.Cut(name, "/")
	number, first, isPart := strings.Cut(number, ".")
	chunk, err := strconv.Atoi(number)
	id = CompletionChunkID{chunk, WholeChunk}
	if isPart && err == nil {
		id.FirstTask, err = strconv.Atoi(first)
	}
	return wire.JobID(jobName), id, found && err == nil && chunk >= 0 && (!isPart || id.FirstTask >= 0)
}

// MarshalJSON encodes the bits as base64.
func (c CompletionChunk) MarshalJSON() ([]byte, error) {
	return json.Marshal(base64.StdEncoding.EncodeToString(c.Bits))
}

// UnmarshalJSON decodes what MarshalJSON encoded.
func (c *CompletionChunk) UnmarshalJSON(p []byte) error {
	var s string
	if err := json.Unmarshal(p, &s); err != nil {
		return err
	}
	var err error
	c.Bits, err = base64.StdEncoding.DecodeString(s)
	return err
}

// Has tells whether bit i is set.
func (c *CompletionChunk) Has(i int) bool {
	return c != nil && i/8 < len(c.Bits) && c.Bits[i/8]&(1<<(i%8)) != 0
}

// Capacity returns the number of tasks that the chunk has bits for.
func (c *CompletionChunk) Capacity() int { return 8 * len(c.Bits) }

// With returns a copy with bits set.
func (c *CompletionChunk) With(bits ...int) *CompletionChunk {
	next := &CompletionChunk{}
	if c != nil {
		next.Bits = append(next.Bits, c.Bits...)
		next.ModRevision = c.ModRevision
	}
	for _, i := range bits {
		next.set(i)
	}
	return next
}

func (c *CompletionChunk) set(i int) {
	for len(c.Bits) <= i/8 {
		c.Bits = append(c.Bits, 0)
	}
	c.Bits[i/8] |= 1 << (i % 8)
}

// CompletionValueBytes returns the size of a chunk's value with a number of bits.
func CompletionValueBytes(bits int) int { return base64.StdEncoding.EncodedLen((bits+7)/8) + 2 }

// TasksPerCompletionPart returns how many tasks a chunk's value of a size has bits for.
func TasksPerCompletionPart(valueBytes int) int { return (valueBytes - 2) / 4 * 3 * 8 }

// ChunkTasks returns the tasks of a whole chunk for a limit of values: base64 takes four bytes
// for three, and half the value is left as a margin.
func ChunkTasks(valueKB float64) int { return max(1, int(valueKB*1024/2*3/4)) * 8 }
