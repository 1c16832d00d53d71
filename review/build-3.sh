#!/bin/sh
# Checks the stand-ins of the third review, which are plain JavaScript and need no build. Run after the build of the
# deploy file.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-3/*.js review/1[1-5]/*.js; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
[ -e target/node.cjs ] && [ -e target/control.cjs ]
