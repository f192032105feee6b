#!/usr/bin/env bash
# Builds the stand-ins of the cases. The project's program comes from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-standin .
