package cccli

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"camphorcroft/core/ccfault"
	"camphorcroft/core/ccload"
	"camphorcroft/io/ccgenerator"
)

func writeTrace(path string, plan *ccload.Plan) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Annotate(err, "write trace")
	}
	if err := plan.WriteTrace(file); err != nil {
		_ = file.Close()
		return errors.Trace(err)
	}
	return errors.Annotate(file.Close(), "write trace")
}

func writeProgress(streams Streams, name string, p ccgenerator.Progress) {
	_, _ = fmt.Fprintf(streams.Err, "%s %4.0fs: %d of %d jobs submitted, %d in flight, %d complete, %d refused, %d failed\n",
		name, p.Elapsed.Seconds(), p.Submitted, p.Planned, p.InFlight, p.Complete, p.Refused, p.Failed)
}

func writeFault(streams Streams, fault ccfault.Fault, err error) {
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "%s failed: %v\n", fault, err)
		return
	}
	_, _ = fmt.Fprintf(streams.Err, "%s\n", fault)
}
