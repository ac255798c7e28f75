#!/usr/bin/env bash
# A release while two instances start anew and one is frozen; exits with 1 if the rule ORDER was broken, 0 if
# it held and 2 if the case could not run. With TROUBLE=0 there is only the release.
set -u
cd "$(dirname "$0")/../.." || exit 2
gateway=target/release/bergamotspan-gateway
standin=target/review/standin
if [ ! -x "$gateway" ] || [ ! -x "$standin" ]; then
  echo "run the build of the deploy file and review/build.sh first"
  exit 2
fi
"$standin" versions "$gateway" review/2/record.txt
status=$?
if [ "$status" -gt 2 ]; then exit 2; fi
exit "$status"
