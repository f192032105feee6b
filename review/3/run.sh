#!/usr/bin/env bash
# Kills an entry while workers leave a share of their orders unanswered.
cd "$(dirname "$0")/../.." || exit 2
PROGRAM=target/camphorcroft exec target/review-standin stop-unanswered review/3/record.txt
