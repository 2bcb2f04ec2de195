#!/bin/sh
# Builds the stand-ins that the scripts start: compiles them, as they need no packages.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standin/standins.py
for case in */case.py; do
    [ ! -e "$case" ] || python3 -m py_compile "$case"
done
