package statecache

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"lynxledge/wire"
)

// CompletionChunk is a section of the bitmap of a job's completed tasks, with one bit per task.
type CompletionChunk struct {
	Bits        []byte
	ModRevision uint64
}

// CompletionChunkID identifies a whole chunk, whose bits start at its first task, or a part of
// one, whose bits start at the task FirstTask within the chunk. The size of a whole chunk follows
// from the size limit of values with which the cluster began, so that all versions number chunks
// alike. Parts are used where a whole chunk exceeds a later limit; versions that don't support
// them leave them alone.
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

// parseCompletionChunkName parses the name of a chunk's record.
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

// UnmarshalJSON decodes the bits from base64.
func (c *CompletionChunk) UnmarshalJSON(p []byte) error {
	var s string
	if err := json.Unmarshal(p, &s); err != nil {
		return err
	}
	var err error
	c.Bits, err = base64.StdEncoding.DecodeString(s)
	return err
}

// Has reports whether bit i is set.
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

// CompletionValueBytes returns the encoded size of a chunk with a number of bits.
func CompletionValueBytes(bits int) int { return base64.StdEncoding.EncodedLen((bits+7)/8) + 2 }

// TasksPerCompletionPart returns the number of tasks whose bits fit into a value of a size.
func TasksPerCompletionPart(valueBytes int) int { return (valueBytes - 2) / 4 * 3 * 8 }

// ChunkTasks returns the number of tasks in a whole chunk for a size limit of values. Base64
// encodes three bytes as four, and half the value is left as a margin.
func ChunkTasks(valueKB float64) int { return max(1, int(valueKB*1024/2*3/4)) * 8 }
