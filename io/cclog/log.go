// Package cclog builds the structured logger that all components of a process
// share, and reads collected logs back.
//
// Each component logs under a fixed logger name, such as "entry" or "cell".
// Messages are short sentences, and values are logged as key-value pairs. Payloads
// are never logged. A line about a request carries its ID under the key "job".
//
// # Bounds
//
// Logging never blocks the caller. Lines go into a bounded buffer that a goroutine
// writes out; when the buffer is full, lines are dropped and counted, and a line
// reports the count. A budget limits the lines per second about requests by
// sampling whole requests: above the budget, the lines of one request in two are
// kept, then of one in four, and so on. Lines without a request are limited per
// message and second. [Log.Dropped] returns how many lines were left out.
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

// Config holds the output, the minimum level and the budget of a logger.
type Config struct {
	Out   io.Writer
	Level string // "debug", "info" or "error". Empty is info.
	// Budget limits the lines per second about requests. Zero means
	// DefaultBudget.
	Budget int
}

// Log is a logger whose level and budget can be changed at run time.
type Log struct {
	Logger logr.Logger
	level  zap.AtomicLevel
	queue  *queue
	budget *budget
}

// New returns a logger that writes one JSON object per line.
func New(cfg Config) *Log {
	level := zap.NewAtomicLevelAt(parseLevel(cfg.Level))
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	queue := newQueue(cfg.Out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), queue, level)
	budget := newBudget(cfg.Budget)
	return &Log{Logger: zapr.NewLogger(zap.New(&budgetCore{Core: core, budget: budget})), level: level, queue: queue, budget: budget}
}

// SetLevel sets the minimum level of the lines logged after the call.
func (l *Log) SetLevel(level string) {
	l.level.SetLevel(parseLevel(level))
}

// SetBudget sets the limit on lines per second about requests. Zero or less means
// DefaultBudget.
func (l *Log) SetBudget(lines int) { l.budget.setLines(lines) }

// Dropped returns how many lines were dropped because the buffer was full or
// closed, and how many exceeded the limits on lines per second.
func (l *Log) Dropped() (full, overBudget uint64) {
	return l.queue.dropped.Load(), l.budget.omitted.Load()
}

// Close writes the buffered lines and stops the logger. It waits for the output no
// longer than closeTimeout.
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
