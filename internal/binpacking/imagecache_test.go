package binpacking

import "testing"

// A cache of a few gigabytes holds dozens of images: remembering eight of them
// sent tasks to fetch what was there.
func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var cache ImageCache
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if !cache.Use(name, 1, 10) {
			t.Fatalf("%s is new", name)
		}
	}
	if cache.Use("a", 1, 10) || !cache.ImageSet()["a"] {
		t.Fatal("ten images of 1 GB fit into 10 GB")
	}
	cache.Use("k", 1, 10)
	if cache.ImageSet()["b"] || !cache.ImageSet()["a"] {
		t.Fatalf("the image that was used longest ago goes first: %v", cache.Images())
	}
}
