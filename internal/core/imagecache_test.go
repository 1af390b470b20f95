package core

import "testing"

// A cache of a few gigabytes holds dozens of images: remembering eight of them
// sent tasks to fetch what was there.
func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var x imageCache
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if !x.use(name, 1, 10) {
			t.Fatalf("%s is new", name)
		}
	}
	if x.use("a", 1, 10) || !x.cached["a"] {
		t.Fatal("ten images of 1 GB fit into 10 GB")
	}
	x.use("k", 1, 10)
	if x.cached["b"] || !x.cached["a"] {
		t.Fatalf("the image that was used longest ago goes first: %v", x.recency)
	}
}
