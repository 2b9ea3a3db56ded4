#!/bin/sh
# Checks the models of the core protocols with spin. Each model must hold, and each mutant, which lacks one mechanism,
# must be caught. Prints the number of states of each search.
set -u
here=$(cd "$(dirname "$0")" && pwd)
spin=${SPIN:-spin}
cc=${CC:-gcc}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work" || exit 1
failed=0
passed=0

# search MODEL MODE WANT DEFINES... runs one search. MODE is safety or progress, WANT is holds or caught.
search() {
  model=$1 mode=$2 want=$3
  shift 3
  if ! "$spin" -a "$@" "$here/$model.pml" > spin.out 2>&1; then
    cat spin.out
    failed=$((failed + 1))
    return
  fi
  if [ "$mode" = safety ]; then
    "$cc" -O2 -w -DSAFETY -DNOCLAIM -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c || exit 1
    ./pan -m100000 > pan.out 2>&1
  else
    "$cc" -O2 -w -DNFAIR=4 -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c || exit 1
    ./pan -a -f -m100000 > pan.out 2>&1
  fi
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out | head -1)
  got=unfinished
  if grep -q 'errors: 0' pan.out && ! grep -q 'Search not completed' pan.out; then got=holds; fi
  if grep -q 'errors: [1-9]' pan.out; then got=caught; fi
  why=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' pan.out | head -1)
  echo "$model $mode $* : $got, $states states $why"
  if [ "$got" = "$want" ]; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "  wanted: $want"; fi
}

faults() { echo "-DCRASHES=$1 -DLOSSES=$2 -DSUSPICIONS=$3"; }

for f in "1 0 1" "0 1 1" "1 1 0" "0 2 0"; do
  search lot safety holds $(faults $f)
done
for f in "0 1 0" "1 0 0" "0 0 1"; do
  search lot progress holds $(faults $f)
done
search lot safety caught -DNO_FENCE $(faults 0 0 1)
search lot safety caught -DNO_CANCEL_CHECK $(faults 0 0 0)
search lot safety caught -DNO_START_COMMIT $(faults 1 0 0)
search lot safety caught -DNO_OUTCOME_UNKNOWN $(faults 1 0 0)
search lot progress caught -DNO_ADOPT $(faults 0 2 0)
search lot progress caught -DNO_TAKEOVER $(faults 1 0 0)

search call safety holds
for mutant in NO_RECORD READ_AS_OWN RERUN_UNANSWERED NOT_RUN_AFTER_SEND; do
  search call safety caught -D$mutant
done

search document safety holds
for mutant in NO_HEAD_CHECK NO_CHANGE_ID NO_SECTION_CHECK BACKWARD; do
  search document safety caught -D$mutant
done

search claim safety holds
search claim safety holds -DLOSSES=1 -DTAKEOVERS=3 -DENDS=1
for mutant in NO_EXPECT NO_CLAIM_CHECK RELIST_BLINDLY; do
  search claim safety caught -D$mutant
done

echo "model checks: $passed as wanted, $failed not"
[ "$failed" -eq 0 ]
