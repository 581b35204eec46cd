#!/usr/bin/env bash
# Runs the case and writes what was sent, answered and run to record.txt.
cd "$(dirname "$0")"
rm -f record.txt
RECORD="$PWD/record.txt" exec node run.mjs
