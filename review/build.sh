#!/usr/bin/env bash
# Builds the stand-in that the scripts of this folder start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DMEADOWTHREAD_TESTS=OFF -DCMAKE_PROJECT_meadowthread_INCLUDE="$PWD/review/standin.cmake"
cmake --build target/review -j8 --target meadowthread-users-standin
