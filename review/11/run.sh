#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 adds
# ten routes instead of 1,400.
here=$(cd "$(dirname "$0")" && pwd)
target="$here/../../target"
[ -x "$target/standin3" ] && [ -x "$target/camphorcroft" ] || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
exec "$target/standin3" routes "$target/camphorcroft" "$here"
