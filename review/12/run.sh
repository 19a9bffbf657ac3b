#!/bin/sh
# Runs the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the
# disruption. Needs the program that the build line of deploy/system.toml makes.
command -v python3 > /dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
