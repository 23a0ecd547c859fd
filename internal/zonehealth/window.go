package zonehealth

import "github.com/RoaringBitmap/roaring/v2"

// windowBuckets is the number of buckets of a window. The union covers at least all
// but one of them in full.
const windowBuckets = 4

// window is a sliding window over the numbers added lately. Adding costs the same however many
// numbers it holds, and old ones expire a bucket at a time.
type window struct {
	buckets [windowBuckets]*roaring.Bitmap
	current int
}

func newWindow() *window {
	w := &window{}
	for i := range w.buckets {
		w.buckets[i] = roaring.New()
	}
	return w
}

func (w *window) add(number uint32) { w.buckets[w.current].Add(number) }

// rotate drops the oldest bucket and begins a new one.
func (w *window) rotate() {
	w.current = (w.current + 1) % windowBuckets
	w.buckets[w.current].Clear()
}

// union returns all numbers of the window.
func (w *window) union() *roaring.Bitmap { return roaring.FastOr(w.buckets[:]...) }
