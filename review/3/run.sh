#!/usr/bin/env bash
# A router's machine loses power shortly before a release starts.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0: it doesn't.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/zf-router ] && [ -x target/review-drive ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec target/review-drive lost-origins review/3/record.txt
