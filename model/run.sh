#!/usr/bin/env bash
# Checks the specifications in this folder exhaustively within their bounds,
# then removes each safety rule in turn and expects a counterexample. Prints the
# number of states and the depth of each run. Fails if a complete specification
# has an error or if there is no counterexample to a removed rule. DEEP=1 adds
# runs with larger bounds.
set -euo pipefail
cd "$(dirname "$0")"
models=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

memory_mb=4096
depth=200000

# check MODEL EXPECTED-ERRORS OPTION... builds and runs the verifier of a model.
check() {
	local model=$1 expected=$2
	shift 2
	rm -f pan*
	spin -a "$@" "$models/$model.pml" >spin.log 2>&1 || { cat spin.log; exit 1; }
	gcc "$optimise" -w -DSAFETY -DNOREDUCE -DVECTORSZ=2048 -DMEMLIM="$memory_mb" -o pan pan.c
	./pan -E -m"$depth" -w22 >pan.log 2>&1 || { cat pan.log; exit 1; }
	local errors states reached
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
	reached=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' pan.log)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log | head -1)
	if grep -Eq 'max search depth too small|out of memory|Search not completed' pan.log && [ "$expected" = 0 ]; then
		echo "FAIL $model $*: the search was not completed"
		cat pan.log
		exit 1
	fi
	if [ "$errors" != "$expected" ]; then
		echo "FAIL $model $*: $errors errors, expected $expected"
		cat pan.log
		exit 1
	fi
	local verdict="holds"
	[ "$expected" = 0 ] || verdict="counterexample found"
	printf '%-12s %-56s %9s states, depth %4s: %s\n' "$model" "$*" "$states" "$reached" "$verdict"
}

# Compilation takes longer than most searches for a counterexample, so broken
# builds its verifier without optimisation.
holds() { optimise=-O1 check "$1" 0 "${@:2}"; }
broken() { optimise=-O0 check "$1" 1 "${@:2}"; }

echo "Whole specifications, exhaustive within the bounds shown:"
holds replication -DTERMS=3 -DENTRIES=2 -DCRASHES=1
holds replication -DREADS -DTERMS=2 -DENTRIES=2 -DCRASHES=1
holds repair -DTERMS=2 -DENTRIES=3
holds repair -DAUTO -DTERMS=2 -DENTRIES=3
holds claims -DATTEMPTS=3
holds config
holds evacuation
if [ "${DEEP:-0}" = 1 ]; then
	holds replication -DTERMS=3 -DENTRIES=2 -DCRASHES=2
	holds repair -DTERMS=2 -DENTRIES=4
	holds repair -DAUTO -DTERMS=2 -DENTRIES=4
fi

echo "Each safety rule removed:"
bounds="-DTERMS=3 -DENTRIES=2 -DCRASHES=1"
for rule in NO_SYNC_BEFORE_ACK NO_SYNC_BEFORE_VOTE NO_ELECTION_RESTRICTION NO_LOG_MATCHING; do
	broken replication $bounds -D$rule
done
broken replication -DTERMS=4 -DENTRIES=2 -DCRASHES=0 -DNO_OWN_TERM_COMMIT
for rule in NO_QUORUM_READ NO_OWN_TERM_READ; do
	broken replication $bounds -DREADS -D$rule
done
broken repair -DTERMS=2 -DENTRIES=2 -DNO_INCARNATION
for rule in NO_PENDING_CHECK REPAIRED_BEFORE_CATCH_UP REPAIRED_BEFORE_COMMIT; do
	broken repair -DTERMS=2 -DENTRIES=3 -D$rule
done
broken repair -DAUTO -DTERMS=2 -DENTRIES=3 -DNO_INCARNATION
for rule in NO_PENDING_CHECK REMOVE_FROM_PART; do
	broken repair -DAUTO -DTERMS=2 -DENTRIES=3 -D$rule
done
for rule in NO_CLAIM_BEFORE_DISPATCH NO_TOMBSTONE RECLAIM_HELD NOT_RUN_WITHOUT_PROOF RETRY_WITHOUT_PROOF NO_HOLDER_CHECK NO_SPENT_CLAIMS NO_FLOOR; do
	broken claims -DATTEMPTS=3 -D$rule
done
for rule in NO_NUMBER_IDENTITY NO_FIRST_REPLY NO_STALE_CHECK NO_VERSION_CHECK NO_CONFIRMED_FETCH; do
	broken config -D$rule
done
for rule in NO_COMMIT_BEFORE_ACK NO_LEVEL_CHECK NO_SET_IN_SNAPSHOT NO_VERSION_CHECK NO_SET_AT_START NO_CONFIRM_AFTER; do
	broken evacuation -D$rule
done
echo "model: every specification holds, every removed rule has a counterexample"
