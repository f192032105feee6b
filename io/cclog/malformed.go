package cclog

import (
	"expvar"
	"strings"
	"sync"

	"github.com/go-logr/logr"
)

const (
	// maxMalformedNames is how many malformed items one Malformed remembers and logs.
	maxMalformedNames = 256
	// maxMalformedText limits the length in bytes of a name and of a cause.
	maxMalformedText = 120
)

// Malformed counts the items that readers leave out because they can't be decoded, and
// logs each item once. It remembers a bounded number of names; items beyond that are
// only counted. It is safe for concurrent use, and a nil Malformed does nothing.
type Malformed struct {
	log    logr.Logger
	counts *expvar.Map

	mu    sync.Mutex
	named map[malformedItem]bool
}

// malformedItem identifies an item by the reader that has left it out and its name.
type malformedItem struct{ reader, name string }

// NewMalformed returns a Malformed that counts by reader in counts, which may be nil.
func NewMalformed(log logr.Logger, counts *expvar.Map) *Malformed {
	return &Malformed{log: log, counts: counts, named: map[malformedItem]bool{}}
}

// Skip counts an item that a reader leaves out, and logs it if it is new. A name that
// does not identify the item may be the start of its text.
func (m *Malformed) Skip(reader, name string, cause error) {
	if m == nil {
		return
	}
	if m.counts != nil {
		m.counts.Add(reader, 1)
	}
	item := malformedItem{reader: reader, name: shorten(name)}
	m.mu.Lock()
	if m.named[item] || len(m.named) > maxMalformedNames {
		m.mu.Unlock()
		return
	}
	m.named[item] = true
	full := len(m.named) > maxMalformedNames
	m.mu.Unlock()
	if full {
		m.log.Info("Further malformed items are only counted.", "reader", reader)
		return
	}
	m.log.Info("Malformed item skipped.", "reader", reader, "item", item.name, "cause", shorten(cause.Error()))
}

// shorten returns a copy of the start of a text, as valid UTF-8.
func shorten(text string) string {
	return strings.ToValidUTF8(strings.Clone(text[:min(len(text), maxMalformedText)]), "?")
}
