package stall

// Start makes the clock expect ticks of the test, without barriers.
func (c *Clock) Start() { c.setRunning(true) }
