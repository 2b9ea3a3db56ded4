#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
[ -x target/rhubarbrudder-vm ] && [ -x target/review-2/rig ] || { echo "build first: deploy/system.toml, then review/build-2.sh"; exit 2; }
exec target/review-2/rig lines "$PWD" "$folder/record.txt"
