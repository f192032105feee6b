#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. It needs Go and no module beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../../target/standin3 .
