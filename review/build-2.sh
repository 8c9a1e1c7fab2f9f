#!/usr/bin/env bash
# Builds the stand-ins of the project and the scripts of the cases 6 to 10. Needs the installed dependencies, but no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p .
npx --no-install tsc -p review
