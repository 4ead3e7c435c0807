#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit codes: 1 broken, 0 held,
# 2 could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec python3 "review/12/play.py"
