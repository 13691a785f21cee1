#!/bin/sh
# Builds the programs that the scripts in review/6 to review/10 start, with all
# stand-ins in them, into target/review-2. Needs what the build of the deploy
# file needs, and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -e "$source" ] || continue
  echo "review/build-2.sh: $source"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin-2 \
    "$source" -o "target/review-2/case$number"
done
