#!/bin/sh
# The stand-ins are plain JavaScript and need no compiler; this checks that they can be read, and that target/ is built.
set -e
cd "$(dirname "$0")/.."
for file in review/support/*.js review/*/run.js; do
  node --check "$file"
done
for file in target/node.cjs target/control.cjs; do
  [ -s "$file" ] || { echo "$file is missing: run the build line of deploy/system.toml first" >&2; exit 1; }
done
