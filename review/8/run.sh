#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.."
[ -x target/lacewingwharfd ] && [ -x target/review-2/case8 ] || {
  echo "build target/lacewingwharfd and run review/build-2.sh first"
  exit 2
}
exec timeout -k 5 100 target/review-2/case8 review/8/record.txt
