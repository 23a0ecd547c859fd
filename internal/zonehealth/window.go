package zonehealth

import "github.com/RoaringBitmap/roaring/v2"

// windowBuckets is the number of buckets of a window. The newest is still being filled, so the
// union covers at least windowBuckets-1 rotation intervals.
const windowBuckets = 4

// window is a sliding window over recently added numbers. Old numbers expire a bucket at a time,
// so the cost of adding one does not depend on how many the window holds.
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

// rotate drops the oldest bucket and starts a new one.
func (w *window) rotate() {
	w.current = (w.current + 1) % windowBuckets
	w.buckets[w.current].Clear()
}

// union returns all numbers in the window.
func (w *window) union() *roaring.Bitmap { return roaring.FastOr(w.buckets[:]...) }
