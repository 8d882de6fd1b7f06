#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
java=$(bin/find-jdk) || exit 2
[ -f target/review/review/Rig.class ] && [ -x target/rt/bin/java ] || exit 2
exec "$java/bin/java" -cp target/review review.RequestAfterStream review/3
