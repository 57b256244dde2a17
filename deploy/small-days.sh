#!/bin/bash
# Plays small days of the standing test over many seeds and tells of each in one line of a table.
#
#   deploy/small-days.sh BENCH SITE [FIRST [LAST [KIND ...]]]
#
# BENCH: the bench's program; SITE: a site file; seeds FIRST (1) to LAST (10); kinds: roll+mass split+mass join+mass.
# NODES (30) controllers a day, SPAN (300) seconds a play at the most, LOGS: a folder that keeps what each play printed.
# Ends by itself. Exit code 1 when a rule broke, a controller crashed, a request was lost or a play did not run.
set -uo pipefail
bench=${1:?the program of the bench} site=${2:?a site file}
first=${3:-1} last=${4:-10}
shift $(($# < 4 ? $# : 4))
kinds=("$@")
[ ${#kinds[@]} -gt 0 ] || kinds=(roll+mass split+mass join+mass)
nodes=${NODES:-30} span=${SPAN:-300}
logs=${LOGS:-$(mktemp -d)}
mkdir -p "$logs"
bad=0 plays=0
echo "| day | seed | rules | G | served (gate) | to the first attempt, 99th | sent again, not taken | score |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
for kind in "${kinds[@]}"; do
    for seed in $(seq "$first" "$last"); do
        out="$logs/$kind-$seed.txt"
        timeout "$span" "$bench" "$site" --rough "$kind" --nodes "$nodes" --seed "$seed" >"$out" 2>&1
        code=$?
        plays=$((plays + 1))
        field() { sed -n "s/$1/\\1/p" "$out" | tail -n 1; }
        verdict=$(grep -m 1 -E '^rules |^rule ' "$out")
        figures=$(grep -E "^${kind//+/\\+} .* score " "$out" | tail -n 1)
        g=$(sed -n 's/.* G \([-0-9.]*\).*/\1/p' <<<"$figures")
        served=$(sed -n 's/.*served \([0-9.]* ([^)]*)\).*/\1/p' <<<"$figures")
        score=$(sed -n 's/.* score \([-0-9.]*\).*/\1/p' <<<"$figures")
        late=$(field '.*to the first attempt \[[0-9]*, \([0-9]*\)\].*')
        again=$(field '.* \([0-9]*\) sent again by clients, [0-9]* not taken.*')
        lost=$(field '.*sent again by clients, \([0-9]*\) not taken.*')
        if [ -z "$figures" ]; then
            verdict="DID NOT RUN (exit code $code): $(tail -n 1 "$out")"
        fi
        echo "| $kind | $seed | $verdict | $g | $served | ${late:+$((late / 1000)) ms} | $again, $lost | $score |"
        # Whatever is not the bench's own word that all is well is a failure, also a word that is new.
        [ "$verdict" = "rules kept, no fault" ] && [ "$code" -eq 0 ] || bad=$((bad + 1))
    done
done
echo "$plays plays, $bad with a fault; what they printed: $logs" >&2
[ "$bad" -eq 0 ]
