package cccli

import (
	"encoding/json"
	"io"
	"net/netip"
	"sync"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v4"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// outputFlag adds --output to a command that reports.
func outputFlag(flags *ff.FlagSet) *string {
	return flags.StringEnumLong("output", "form of the report: text or json", outputText, outputJSON)
}

// writeJSON writes a report as one indented JSON value.
func writeJSON(streams Streams, report any) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")
	return errors.Annotate(encoder.Encode(report), "write report")
}

// parseAddrs reads a list of IP:PORT. The flag's name is for the error.
func parseAddrs(flag string, texts []string) ([]netip.AddrPort, error) {
	addrs := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &usageError{text: "--" + flag + " takes IP:PORT, not " + text}
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// lockedWriter lets several goroutines write to one writer.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write writes all bytes before those of another call.
func (w *lockedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(data)
}
