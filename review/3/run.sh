#!/usr/bin/env bash
# Workers leave a share of their orders unanswered while jobs reach their time limit.
cd "$(dirname "$0")/../.." || exit 2
PROGRAM=target/camphorcroft exec target/review-standin stop-unanswered review/3/record.txt
