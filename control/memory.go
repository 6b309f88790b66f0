package control

const (
	// memoryHighWater is the share of memory above which no key is retained and no request started.
	memoryHighWater = 0.95
)

// memoryUse is the share of memory in use with so much more.
func (c *Controller) memoryUse(more float64) float64 {
	if c.settings.MemoryKB <= 0 {
		return 0
	}
	return (c.queuedKB + c.runningKB + float64(c.liveKeys)*c.settings.KeyKB + more) / c.settings.MemoryKB
}
