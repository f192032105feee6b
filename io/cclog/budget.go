package cclog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// DefaultBudget is the default limit on lines per second about requests. It
	// allows 350 requests per second at an entry with about ten lines each, which
	// costs about 1 % of a core.
	DefaultBudget = 3500
	// maxLinesPerMessage limits the lines per second with the same message that are
	// not about a request.
	maxLinesPerMessage = 50
	// maxSampleInterval bounds the sampling: at least one request in 1,024 is kept.
	maxSampleInterval = 1024
)

// requestKey is the log key of a request's ID.
const requestKey = "job"

// budget limits the lines per second. It samples lines about requests by request
// ID, so that the lines of a request in one second are kept or omitted together.
type budget struct {
	lines   atomic.Int64
	omitted atomic.Uint64

	mu             sync.Mutex // Guards the fields below.
	second         int64
	requestLines   int64  // Lines about requests in this second, kept or not.
	sampleInterval uint64 // One request in sampleInterval is kept.
	messageCounts  map[string]int
}

func newBudget(lines int) *budget {
	b := &budget{sampleInterval: 1, messageCounts: map[string]int{}}
	b.setLines(lines)
	return b
}

func (b *budget) setLines(lines int) {
	if lines <= 0 {
		lines = DefaultBudget
	}
	b.lines.Store(int64(lines))
}

// keep reports whether a line is kept, and counts it as omitted if not. request is
// the ID of the request that the line is about, or empty.
func (b *budget) keep(now time.Time, message, request string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.startSecond(second)
	}
	var kept bool
	if request != "" {
		b.requestLines++
		kept = xxhash.Sum64String(request)%b.sampleInterval == 0
	} else {
		b.messageCounts[message]++
		kept = b.messageCounts[message] <= maxLinesPerMessage
	}
	if !kept {
		b.omitted.Add(1)
	}
	return kept
}

// startSecond begins a new second. It computes the sample interval from the number
// of lines about requests in the last second.
func (b *budget) startSecond(second int64) {
	b.second = second
	b.sampleInterval = 1
	for b.requestLines > b.lines.Load()*int64(b.sampleInterval) && b.sampleInterval < maxSampleInterval {
		b.sampleInterval *= 2
	}
	b.requestLines = 0
	clear(b.messageCounts)
}

// budgetCore is a zapcore.Core that omits the lines beyond the budget.
type budgetCore struct {
	zapcore.Core
	budget *budget
}

// With returns a core with added fields that shares the budget.
func (c *budgetCore) With(fields []zap.Field) zapcore.Core {
	return &budgetCore{Core: c.Core.With(fields), budget: c.budget}
}

// Check adds the core to the entry if the entry's level is enabled.
func (c *budgetCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes the entry if it is within the budget. Errors are always written.
func (c *budgetCore) Write(entry zapcore.Entry, fields []zap.Field) error {
	request := ""
	for _, f := range fields {
		if f.Key == requestKey && f.Type == zapcore.StringType {
			request = f.String
		}
	}
	if entry.Level < zapcore.ErrorLevel && !c.budget.keep(entry.Time, entry.Message, request) {
		return nil
	}
	return c.Core.Write(entry, fields)
}
