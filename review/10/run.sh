#!/bin/sh
# Plays the case once. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 115 node review/10/case.js
