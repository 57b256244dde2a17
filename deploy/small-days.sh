#!/bin/bash
# Plays short days of the standing test over many seeds and prints one line of a table for each.
#
#   deploy/small-days.sh BENCH SITE [FIRST [LAST [KIND ...]]]
#
# BENCH: the bench's program; SITE: a site file; seeds FIRST (1) to LAST (10); kinds: roll+mass split+mass join+mass.
# Environment: NODES (30) controllers a day; SPAN (300) seconds a play at the most; JOBS (1) plays at once, for days that
# run in step with the bench's clock only; LOGS, a folder that keeps what each play printed; WHY, a sentence for the journal.
# Ends by itself. Exit code 1 when a rule broke, a controller crashed, a request was lost or a play did not run.
set -uo pipefail
export bench=${1:?the program of the bench} site=${2:?a site file}
first=${3:-1} last=${4:-10}
shift $(($# < 4 ? $# : 4))
kinds=("$@")
[ ${#kinds[@]} -gt 0 ] || kinds=(roll+mass split+mass join+mass)
export nodes=${NODES:-30} span=${SPAN:-300} why=${WHY:-Short days over seeds}
export logs=${LOGS:-$(mktemp -d)}
mkdir -p "$logs"

# The only verdict of the bench that counts as a pass: any other wording, also a new one, is a failure.
export PASS_VERDICT="rules kept, no fault"

# Plays one day and writes its line of the table; exit code 1 where it has a fault.
play() {
    local kind=$1 seed=$2
    local out="$logs/$kind-$nodes-$seed.txt"
    timeout "$span" "$bench" "$site" --rough "$kind" --nodes "$nodes" --seed "$seed" --why "$why" >"$out" 2>&1
    local code=$?
    field() { sed -n "s/$1/\\1/p" "$out" | tail -n 1; }
    local verdict figures g served score late again untaken unanswered
    verdict=$(grep -m 1 -E '^rules |^rule ' "$out")
    figures=$(grep -E "^${kind//+/\\+} .* score " "$out" | tail -n 1)
    g=$(sed -n 's/.* G \([-0-9.]*\).*/\1/p' <<<"$figures")
    served=$(sed -n 's/.*served \([0-9.]* ([^)]*)\).*/\1/p' <<<"$figures")
    score=$(sed -n 's/.* score \([-0-9.]*\).*/\1/p' <<<"$figures")
    late=$(field '.*to the first attempt \[[0-9]*, \([0-9]*\)\].*')
    again=$(field '.* \([0-9]*\) sent again by clients, [0-9]* not taken.*')
    untaken=$(field '.*sent again by clients, \([0-9]*\) not taken.*')
    unanswered=$(field '.*[^0-9]\([0-9]*\) requests never taken up or never answered.*')
    if [ -z "$figures" ]; then
        verdict="DID NOT RUN (exit code $code): $(tail -n 1 "$out")"
    fi
    echo "| $kind | $seed | $verdict | $g | $served | ${late:+$((late / 1000)) ms} | $again, $untaken, ${unanswered:-0} | $score |" >"$out.row"
    [ "$verdict" = "$PASS_VERDICT" ] && [ "$code" -eq 0 ]
}
export -f play

echo "| day | seed | rules | G | served (gate) | to the first attempt, 99th | sent again, not taken, never answered | score |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
for kind in "${kinds[@]}"; do
    for seed in $(seq "$first" "$last"); do
        echo "$kind $seed"
    done
done >"$logs/plays"
faults=0
xargs -P "${JOBS:-1}" -L 1 bash -c 'play "$0" "$1" || echo "$0 $1"' <"$logs/plays" >"$logs/faults" || faults=1
while read -r kind seed; do
    cat "$logs/$kind-$nodes-$seed.txt.row" || faults=1
done <"$logs/plays"
echo "$(wc -l <"$logs/plays") plays, $(wc -l <"$logs/faults") with a fault; what they printed: $logs" >&2
[ "$faults" -eq 0 ] && [ ! -s "$logs/faults" ]
