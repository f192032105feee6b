#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network. The program itself is built by
# the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/standin-2 .
