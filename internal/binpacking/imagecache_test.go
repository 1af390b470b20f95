package binpacking

import "testing"

// A cache of a few gigabytes holds dozens of images: remembering eight of them
// sent tasks to fetch what was there.
func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var x ImageCache
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if !x.Use(name, 1, 10) {
			t.Fatalf("%s is new", name)
		}
	}
	if x.Use("a", 1, 10) || !x.ImageSet()["a"] {
		t.Fatal("ten images of 1 GB fit into 10 GB")
	}
	x.Use("k", 1, 10)
	if x.ImageSet()["b"] || !x.ImageSet()["a"] {
		t.Fatalf("the image that was used longest ago goes first: %v", x.Images())
	}
}
