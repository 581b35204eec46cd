#!/usr/bin/env bash
# The scripts of the cases are plain JavaScript and need no build of their own;
# they start the program that the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/fescuespoold.cjs || node scripts/bundle.mjs
