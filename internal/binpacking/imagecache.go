package binpacking

import "slices"

// ImageCache is what a machine's cache of images should hold: those that were used last, as many
// as fit. The zero value is ready.
type ImageCache struct {
	recency []string // the one used last at the end
	cached  map[string]bool
	sizesGB map[string]float64
	totalGB float64
}

// Use notes that an image is used on a machine whose cache holds capacityGB, and reports whether
// the image is new to it. The image that is used stays, however large it is.
func (c *ImageCache) Use(image string, sizeGB, capacityGB float64) bool {
	if c.cached == nil {
		c.cached, c.sizesGB = map[string]bool{}, map[string]float64{}
	}
	isNew := !c.cached[image]
	if isNew {
		c.cached[image], c.sizesGB[image] = true, sizeGB
		c.totalGB += sizeGB
	} else {
		c.recency = slices.DeleteFunc(c.recency, func(other string) bool { return other == image })
	}
	c.recency = append(c.recency, image)
	for c.totalGB > capacityGB && len(c.recency) > 1 {
		c.evictOldest()
	}
	return isNew
}

func (c *ImageCache) evictOldest() {
	oldest := c.recency[0]
	c.recency = c.recency[1:]
	c.totalGB -= c.sizesGB[oldest]
	delete(c.cached, oldest)
	delete(c.sizesGB, oldest)
}

// Images lists what is in the cache, the one used last at the end. The caller must not change it.
func (c *ImageCache) Images() []string { return c.recency }

// ImageSet is the same as a set, nil if the cache is empty. It follows the cache until that is first
// used, and the caller must not change it.
func (c *ImageCache) ImageSet() map[string]bool { return c.cached }
