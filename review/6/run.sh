#!/bin/sh
# Crashes an idle worker, which starts again under its ID and then answers nothing for a while.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 crashes nothing.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin-2 ] || exit 2
exec target/review/standin-2 reborn review/6/record.txt
