#!/usr/bin/env bash
# The stand-ins of review/6 to review/9 are plain Node.js programs, in the cases and in
# review/lib-2: nothing has to be built beyond the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node --check review/lib-2/harness.mjs
for case in review/[6-9] review/10; do
  if [ -f "$case/case.mjs" ]; then node --check "$case/case.mjs"; fi
done
