package cclimit

// collectPart is the part of a class's share that garbage may take before it is worth a
// collection.
const collectPart = 2

// garbage is what connections have released and the garbage collector has not freed yet. It
// takes memory as what is in use does.
type garbage struct {
	// recent was released since the end of the last collection, and earlier before that. A
	// collection frees what was released before it began, so what the last one has not freed
	// is freed by the next.
	recent, earlier int64
	// collecting was released before the collection that was asked for began.
	collecting int64
}

func (g *garbage) add(bytes int64) { g.recent += bytes }

func (g *garbage) bytes() int64 { return g.recent + g.earlier + g.collecting }

// Uncollected returns the bytes of a class that were released and may not be free yet.
func (t *Table) Uncollected(class Class) int64 { return t.classes[class].garbage.bytes() }

// Collected notes that the garbage collector has ended a collection of its own accord.
func (t *Table) Collected() {
	for class := range t.classes {
		g := &t.classes[class].garbage
		g.recent, g.earlier = 0, g.recent
		t.grant(Class(class))
	}
}

// NeedsCollection reports whether garbage keeps a connection waiting, or soon will.
func (t *Table) NeedsCollection() bool {
	for class := range t.classes {
		c := &t.classes[class]
		bytes := c.garbage.bytes()
		if len(c.waiting) > 0 && bytes > 0 || bytes > t.limits.Shares[class].Bytes/collectPart {
			return true
		}
	}
	return false
}

// BeginCollection notes that a collection that was asked for begins. It frees what was
// released before.
func (t *Table) BeginCollection() {
	for class := range t.classes {
		g := &t.classes[class].garbage
		g.collecting += g.recent + g.earlier
		g.recent, g.earlier = 0, 0
	}
}

// EndCollection notes that the collection that was asked for has ended.
func (t *Table) EndCollection() {
	for class := range t.classes {
		t.classes[class].garbage.collecting = 0
		t.grant(Class(class))
	}
}
