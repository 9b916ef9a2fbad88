package outcomes

func (c *courier) set(late, twice float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late, c.twice = late, twice
}

func (r *run) inject() {}
