#!/bin/sh
# The stand-ins are plain Node.js modules: nothing has to be compiled, only checked.
cd "$(dirname "$0")/.." || exit 1
for file in review/stand-ins/*.mjs review/*/case.mjs; do
  node --check "$file" || exit 1
done
