#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
REPOSITORY=$(cd ../.. && pwd) || exit 2
export REPOSITORY
[ -x "$REPOSITORY/target/review/harness" ] || { echo "run review/build.sh first"; exit 2; }
exec "$REPOSITORY/target/review/harness" seeds record.txt
