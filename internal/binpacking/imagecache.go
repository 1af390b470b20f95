package binpacking

import "slices"

// ImageCache predicts the contents of a machine's image cache: the most recently used images, as
// many as fit. The zero value is ready to use. It is not safe for concurrent use.
type ImageCache struct {
	recency []string // least recently used first
	cached  map[string]bool
	sizesGB map[string]float64
	totalGB float64
}

// Use records the use of an image on a machine whose cache holds capacityGB, and reports whether
// the image was not cached before. Least recently used images are evicted until the remaining ones
// fit. The image itself is never evicted by its own use, however large it is.
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

// Images returns the cached images, least recently used first. The caller must not change the slice.
func (c *ImageCache) Images() []string { return c.recency }

// ImageSet returns the cached images as a set, nil before the first Use. The set is not a copy:
// later calls of Use change it. The caller must not change it.
func (c *ImageCache) ImageSet() map[string]bool { return c.cached }
