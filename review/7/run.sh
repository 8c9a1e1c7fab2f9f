#!/usr/bin/env bash
# An instance that lives is cut off with refused connections, with TROUBLE=0 it is not. Exits with 1 if two instances hold the same keys.
cd "$(dirname "$0")/../.." || exit 2
exec node build/review/src/refusedInstance.js review/7/record.txt
