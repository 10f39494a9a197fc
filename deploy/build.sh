#!/bin/sh
# Puts the libraries and our own packages into target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --disable-pip-version-check \
        --upgrade --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
for package in \
    packages/cyclamentrack/cyclamentrack \
    packages/cyclamentrack-daemon/cyclamentrack_daemon \
    platform/cyclamentrack_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
