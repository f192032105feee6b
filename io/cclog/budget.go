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
	// DefaultBudget is how many lines a second may be about requests: 350 requests a
	// second at an entry, with some ten lines each, cost about 1 % of a core.
	DefaultBudget = 3500
	// maxLinesPerMessage is how many lines of one message a second are kept of those
	// that are not about a request.
	maxLinesPerMessage = 50
	// maxSampleInterval is the least share of requests that is kept: one in 1,024.
	maxSampleInterval = 1024
)

// requestKey is the key of a request's ID.
const requestKey = "job"

// budget says which lines are kept.
type budget struct {
	lines atomic.Int64
	omitted  atomic.Uint64

	mu       sync.Mutex // Guards what follows.
	second   int64
	requestLines     int64 // Lines about requests in this second, kept or not.
	sampleInterval uint64
	messageCounts map[string]int
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

// keep says whether a line is kept, and how many requests share the fate of a
// kept one if that has just changed.
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

// startSecond begins a new second: its thinning follows from the lines of the last one.
func (b *budget) startSecond(second int64) {
	b.second = second
	b.sampleInterval = 1
	for b.requestLines > b.lines.Load()*int64(b.sampleInterval) && b.sampleInterval < maxSampleInterval {
		b.sampleInterval *= 2
	}
	b.requestLines = 0
	clear(b.messageCounts)
}

// budgetCore leaves out the lines beyond the budget.
type budgetCore struct {
	zapcore.Core
	budget *budget
}

// With keeps the budget with added fields.
func (c *budgetCore) With(fields []zap.Field) zapcore.Core {
	return &budgetCore{Core: c.Core.With(fields), budget: c.budget}
}

// Check hands a line on if its level is in use.
func (c *budgetCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes a line within the budget. Errors always are.
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
