#!/bin/sh
# Evacuates a zone, and later partitions the entry of the zone from the store and restarts it.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 only evacuates.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin-2 ] || exit 2
exec target/review/standin-2 evacuate review/8/record.txt
