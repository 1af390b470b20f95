package binpacking

import "testing"

// Guards against a fixed limit on the number of remembered images: a cache of a few gigabytes holds
// dozens of images, and when only eight were remembered, tasks pulled images that a machine still
// had cached.
func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var cache ImageCache
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if !cache.Use(name, 1, 10) {
			t.Fatalf("first use of image %s was not reported as new", name)
		}
	}
	if cache.Use("a", 1, 10) || !cache.ImageSet()["a"] {
		t.Fatal("image a was evicted although ten images of 1 GB fit into 10 GB")
	}
	cache.Use("k", 1, 10)
	if cache.ImageSet()["b"] || !cache.ImageSet()["a"] {
		t.Fatalf("want the least recently used image evicted, got %v", cache.Images())
	}
}
