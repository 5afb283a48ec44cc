#!/usr/bin/env bash
# Builds what the cases 6 to 10 start, into build/review-2/: one program a case, with its stand-ins for clients, nodes,
# discovery and the platform. The balancer is the one that the build line of deploy/balancer.toml has built.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
jobs=()
for number in 6 7 8 9 10; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case-$number" "review/$number/scenario.cpp" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
