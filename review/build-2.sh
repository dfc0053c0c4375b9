#!/usr/bin/env bash
# Checks the stand-ins of the scripts in 6 to 10, which need no build: they are modules that
# Node.js runs as they are, with imports from node: only. None of the project's own
# stand-ins is started.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness-2/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done
