#!/usr/bin/env bash
# Checks all properties of the specification exhaustively with spin, and checks that each broken variant violates a
# property. Exits with 0 if both hold.
# Usage: spec/check.sh [model...]
set -euo pipefail
spec=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# verify MODEL KIND DEFINES [broken]: runs the model checker and sets verdict, states and seconds.
verify() {
  local model=$1 kind=$2 defines=$3 dir begun optimise=-O2
  # The search of a broken variant ends at the first violation, so that compiling with -O2 would take longer than the
  # search.
  [ "${4:-}" = broken ] && optimise=-O0
  dir=$(mktemp -d -p "$work")
  begun=$SECONDS
  # shellcheck disable=SC2086
  (cd "$dir" && spin -a $defines "$spec/$model.pml") >"$dir/spin.log" 2>&1 || { cat "$dir/spin.log"; exit 1; }
  if [ "$kind" = live ]; then
    gcc $optimise -w -DNFAIR=3 -DMEMLIM=3000 -DCOLLAPSE -o "$dir/pan" "$dir/pan.c"
    (cd "$dir" && ./pan -a -f -m1000000) >"$dir/pan.log" 2>&1 || true
  else
    gcc $optimise -w -DSAFETY -DMEMLIM=3000 -DCOLLAPSE -o "$dir/pan" "$dir/pan.c"
    (cd "$dir" && ./pan -m1000000) >"$dir/pan.log" 2>&1 || true
  fi
  seconds=$((SECONDS - begun))
  states=$(awk '/states, stored/ {print $1; exit}' "$dir/pan.log")
  if ! grep -q 'errors: ' "$dir/pan.log" || grep -qE 'max search depth too small|out of memory|Search not completed' "$dir/pan.log" && ! grep -qE 'assertion violated|acceptance cycle|invalid end state ' "$dir/pan.log"; then
    verdict="incomplete"
  elif grep -q 'assertion violated' "$dir/pan.log"; then
    verdict="assertion"
  elif grep -q 'acceptance cycle (' "$dir/pan.log"; then
    verdict="cycle"
  elif grep -q 'errors: 0' "$dir/pan.log"; then
    verdict="holds"
    note_unreached "$model" "$dir/pan.log"
  else
    verdict="deadlock"
  fi
}

# note_unreached MODEL LOG: keeps the lines of a model that no complete search so far has reached.
note_unreached() {
  sed -n "s/^.*$1\.pml:\([0-9]*\), state.*$/\1/p" "$2" | sort -un >"$work/$1.unreached.new"
  if [ -f "$work/$1.unreached" ]; then
    comm -12 <(sort "$work/$1.unreached") <(sort "$work/$1.unreached.new") >"$work/both"
    mv "$work/both" "$work/$1.unreached"
  else
    mv "$work/$1.unreached.new" "$work/$1.unreached"
  fi
}

row() { printf '%-8s %-16s %-38s %12s %4ss  %s\n' "$@"; }

# holds MODEL KIND PROPERTIES [DEFINES]: checks that the properties hold.
holds() {
  wanted "$1" || return 0
  verify "$1" "$2" "${4:-}"
  [ "$verdict" = holds ] || failed=1
  local p
  for p in $3; do
    grep -q "$p" "$spec/$1.pml" || { echo "$1.pml does not mention the property $p"; failed=1; }
    row "$1" "${4:-sound}" "$p" "${states:-?}" "$seconds" "$verdict"
  done
}

# caught MODEL KIND PROPERTIES DEFINES: checks that the broken variant violates one of the properties.
caught() {
  wanted "$1" || return 0
  verify "$1" "$2" "$4" broken
  case $verdict in
  assertion | cycle) verdict="caught ($verdict)" ;;
  *) verdict="NOT CAUGHT ($verdict)"; failed=1 ;;
  esac
  row "$1" "${4#-DLIVE }" "$3" "${states:-?}" "$seconds" "$verdict"
}

# reached MODEL: checks that each chart transition of the model is reached in a search of a sound variant.
reached() {
  wanted "$1" || return 0
  local n
  while read -r n; do
    if sed -n "${n}p" "$spec/$1.pml" | grep -q '/\* chart '; then
      echo "$1.pml:$n: transition is never reached:$(sed -n "${n}p" "$spec/$1.pml")"
      failed=1
    fi
  done <"$work/$1.unreached"
}

models=" $* "
wanted() { [ "$models" = "  " ] || [[ $models == *" $1 "* ]]; }

row model variant property states time verdict
holds lease safety "ONE_HOLDER FENCE_RISES"
holds lease live "SUCCESSION" -DLIVE
caught lease safety ONE_HOLDER -DNO_MARGIN
caught lease safety ONE_HOLDER -DLATE_START
caught lease safety ONE_HOLDER -DNO_WAIT
caught lease safety FENCE_RISES -DSAME_FENCE
caught lease safety ONE_HOLDER,FENCE_RISES -DBLIND_GRANT
caught lease live SUCCESSION "-DLIVE -DSLEEPER"
reached lease
holds order safety "ONE_IN_CHARGE ONCE RECORDED"
holds order safety "ONE_IN_CHARGE ONCE RECORDED" -DIGNORES
caught order safety ONE_IN_CHARGE,ONCE -DNO_FENCE
caught order safety ONE_IN_CHARGE,ONCE "-DIGNORES -DNO_WAIT_OUT"
caught order safety ONCE "-DIGNORES -DNO_ASK"
caught order safety RECORDED -DNO_RECORD
reached order
holds claim safety "AT_MOST_ONCE NOT_RUN_IS_TRUE REPLAY_IS_TRUE"
holds claim live "ANSWERED" -DLIVE
caught claim safety AT_MOST_ONCE -DUNCONFIRMED
caught claim safety AT_MOST_ONCE -DBLIND_WRITE
caught claim safety NOT_RUN_IS_TRUE -DNO_PROOF
caught claim safety NOT_RUN_IS_TRUE -DRELEASE_SENT
caught claim live ANSWERED "-DLIVE -DNO_LIMIT"
reached claim
holds window safety "SAME_FIGURES EXACT ONE_REPORTER"
holds window live "REPORTED" -DLIVE
caught window safety SAME_FIGURES -DNO_FREEZE
caught window safety EXACT,SAME_FIGURES -DBLIND_FREEZE
caught window safety ONE_REPORTER -DNO_CLAIM
caught window live REPORTED "-DLIVE -DNO_TAKEOVER"
reached window
holds release safety "ONE_CONTENT NEVER_BACK NEVER_REVERTS"
holds release live "IN_FORCE" -DLIVE
caught release safety ONE_CONTENT -DBLIND_PUBLISH
caught release safety NEVER_BACK,NEVER_REVERTS -DANY_NUMBER
caught release safety NEVER_REVERTS -DREADY_ALONE
caught release live IN_FORCE "-DLIVE -DNO_POLL"
if [ "$failed" != 0 ]; then
  echo "the specification check FAILED; see the rows above"
  exit 1
fi
echo "all properties hold and all broken variants are caught, in ${SECONDS} s"
