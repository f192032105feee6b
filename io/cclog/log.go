// Package cclog builds the logger that all parts of a process share.
//
// Each part logs under a fixed name, such as "entry" or "cell". Sentences are
// short; figures go into keys. Payloads are never logged.
//
// # Usage
//
//	log := cclog.New(cclog.Config{Out: os.Stderr, Level: "info"})
//	log.Logger.WithName("entry").Info("Entry is ready.", "node", id)
//	log.SetLevel("debug")
package cclog

import (
	"io"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling bounds a flood of one message: the first few a second are logged,
// then one in many.
const (
	sampleInterval   = time.Second
	sampleFirst      = 10
	sampleThereafter = 100
)

// Config says where logs go and from which level on.
type Config struct {
	Out   io.Writer
	Level string // "debug", "info" or "error". Empty is info.
}

// Log is a logger whose level can change while it is in use.
type Log struct {
	Logger logr.Logger
	level  zap.AtomicLevel
}

// New returns a logger that writes one JSON object a line.
func New(cfg Config) *Log {
	level := zap.NewAtomicLevelAt(parseLevel(cfg.Level))
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(cfg.Out)), level)
	sampled := zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThereafter)
	return &Log{Logger: zapr.NewLogger(zap.New(sampled)), level: level}
}

// SetLevel changes the level from now on.
func (l *Log) SetLevel(level string) {
	l.level.SetLevel(parseLevel(level))
}

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
