// Package cclog builds the logger that all parts of a process share.
//
// Each part logs under a fixed name, such as "entry" or "cell". Sentences are
// short; figures go into keys. Payloads are never logged. A line about a request
// carries its ID under the key "job".
//
// # Bounds
//
// A line is never waited for. Lines go into a bounded buffer that a goroutine
// writes out; what finds no room is dropped and counted. A budget of lines a
// second keeps whole requests: beyond it, the lines of one request in two are
// kept, then of one in four, and so on. Of lines without a request, a few of each
// message a second are kept. A line says how many were left out.
//
// # Usage
//
//	log := cclog.New(cclog.Config{Out: os.Stdout, Level: "info"})
//	defer log.Close()
//	log.Logger.WithName("entry").Info("Entry is ready.", "node", id)
//	log.SetLevel("debug")
package cclog

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Config says where logs go and from which level on.
type Config struct {
	Out   io.Writer
	Level string // "debug", "info" or "error". Empty is info.
	// Budget is how many lines a second may be about requests. Zero is
	// DefaultBudget.
	Budget int
}

// Log is a logger whose level and budget can change while it is in use.
type Log struct {
	Logger logr.Logger
	level  zap.AtomicLevel
	queue  *queue
	budget *budget
}

// New returns a logger that writes one JSON object a line.
func New(cfg Config) *Log {
	level := zap.NewAtomicLevelAt(parseLevel(cfg.Level))
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	queue := newQueue(cfg.Out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), queue, level)
	budget := newBudget(cfg.Budget)
	return &Log{Logger: zapr.NewLogger(zap.New(&budgetCore{Core: core, budget: budget})), level: level, queue: queue, budget: budget}
}

// SetLevel changes the level from now on.
func (l *Log) SetLevel(level string) {
	l.level.SetLevel(parseLevel(level))
}

// SetBudget changes how many lines a second may be about requests.
func (l *Log) SetBudget(lines int) { l.budget.setLines(lines) }

// Dropped returns how many lines found no room in the buffer, and how many the
// budget left out.
func (l *Log) Dropped() (full, overBudget uint64) {
	return l.queue.dropped.Load(), l.budget.omitted.Load()
}

// Close writes out what is left.
func (l *Log) Close() { l.queue.close() }

func parseLevel(level string) zapcore.Level {
	switch level {
	case "debug":
		return zapcore.DebugLevel
	case "error":
		return zapcore.ErrorLevel
	default:
		return zapcore.InfoLevel
	}
}
