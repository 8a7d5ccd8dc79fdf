#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review/. Needs the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for unit in net fleet; do
  g++ "${flags[@]}" -c "review/harness/$unit.cc" -o "target/review/$unit.o" &
done
wait
for source in review/cases/*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" target/review/net.o target/review/fleet.o -o "target/review/$name" &
done
wait
for source in review/cases/*.cc; do
  [ -x "target/review/$(basename "$source" .cc)" ]
done
