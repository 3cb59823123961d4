#!/usr/bin/env bash
# Builds the programs that the cases start, into target/review. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/support/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "target/review/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in review/[0-9]/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" target/review/*.o \
    -o "target/review/case-$(basename "$(dirname "$source")")" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
