#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")/../.."
record=review/10/record.txt
if [ ! -x target/rt/bin/java ] || [ ! -f target/app/java.args ] || [ ! -f target/review-2/StaleSeeds.class ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" | tee "$record"
  exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
target/rt/bin/java -Xmx256m -Dfile.encoding=UTF-8 -Dstdout.encoding=UTF-8 -Drecord="$record" \
  -Dwork="$work" -cp target/review-2 StaleSeeds >"$work/output" 2>&1 &
harness=$!
trap 'kill "$harness" 2>/dev/null; wait "$harness"; exit 2' TERM INT
wait "$harness"
code=$?
tail -n 3 "$work/output"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
