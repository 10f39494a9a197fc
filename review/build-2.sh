#!/bin/sh
# Builds the stand-ins of the second review's scripts: they are plain Python
# that uses the standard library alone, so this only checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/review" python3 -c 'import common_2'
