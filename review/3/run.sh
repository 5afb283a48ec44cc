#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/3
review/build.sh || exit 2
[ -x build/burlfall ] || { echo "build/burlfall is missing: run the build line of deploy/balancer.toml" >&2; exit 2; }
timeout -k 5 110 "review/bin/case-${case_folder#review/}" "$case_folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
