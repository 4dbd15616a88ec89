#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 need the standard library alone: check that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review"); import standins_2'
