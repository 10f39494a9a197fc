#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the nodes.
# Their stand-ins are plain Python of the standard library, in one module.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for file in review/standins_3.py review/1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
        "$file" "target/review-3/$(echo "$file" | tr / _)c"
done
