#!/usr/bin/env bash
# Sends an agent one ping of another writer, which names no worker to use.
cd "$(dirname "$0")/../.." || exit 2
PROGRAM=target/camphorcroft exec target/review-standin foreign-ping review/2/record.txt
