#!/bin/sh
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0: without the disruption.
command -v python3 >/dev/null || exit 2
exec python3 -B "$(dirname "$0")/case.py"
