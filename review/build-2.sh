#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
FLAGS="-std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -Iinclude"
LIBRARIES="target/libpeppertack_transport.a target/libpeppertack_protocol.a
  target/libpeppertack_coordination.a target/libpeppertack_state.a"
# shellcheck disable=SC2086
g++ $FLAGS -c review/support-2/deployment.cpp -o target/review-2/deployment.o
for CASE in review/support-2/case_*.cpp; do
    NUMBER=$(basename "$CASE" .cpp)
    # shellcheck disable=SC2086,SC2046
    g++ $FLAGS "$CASE" target/review-2/deployment.o $LIBRARIES -o "target/review-2/${NUMBER/_/-}" \
        $(pkg-config --libs cpp-httplib capnp libcrypto libglog) -lxxhash -lcsv -lz -lpthread
done
echo "the stand-ins are built"
