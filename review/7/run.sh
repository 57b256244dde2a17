#!/usr/bin/env bash
# A keyed call whose request has no id is sent again after it may have run: no worker can tell that it is a repeat.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no connection is reset.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/release/nettleferry
stand_ins=$root/target/review-2/release/stand-ins-2
record=$here/record.txt
trouble=${TROUBLE:-1}
work=$(mktemp -d)
started=()
: > "$record"

say() { echo "$*" | tee -a "$record"; }
cannot() { say "could not run: $*"; exit 2; }
finish() {
    [ ${#started[@]} -gt 0 ] && kill -9 "${started[@]}" 2> /dev/null
    wait 2> /dev/null
    rm -rf "$work"
}
trap finish EXIT
# Waits up to 10 s for a line in a file.
await() {
    for _ in $(seq 100); do
        grep -q -- "$1" "$2" 2> /dev/null && return 0
        sleep 0.1
    done
    cannot "no line '$1' in $(basename "$2")"
}
[ -x "$program" ] || cannot "the program is not built: cargo build --release"
[ -x "$stand_ins" ] || cannot "the stand-ins are not built: review/build-2.sh"

resets=20
[ "$trouble" = 0 ] && resets=0
mapfile -t ports < <("$stand_ins" ports --count 3)
cat > "$work/workers.sexp" << END
(worker w1 (address "127.0.0.1:${ports[0]}") (cell c1))
(worker w2 (address "127.0.0.1:${ports[1]}") (cell c1))
END
cat > "$work/settings.sexp" << END
(listen (grpc "127.0.0.1:${ports[2]}"))
(workers (file "workers.sexp"))
(class tag (effect keyed all 5s) (aim 600ms) (deadline 4s))
(model "echo-*" (class tag) (lanes 4))
END
# Both workers are one process, which is their common record of the ids that they have seen. One call in twenty runs,
# and its connection is reset before it is answered.
"$stand_ins" worker --listen "127.0.0.1:${ports[0]},127.0.0.1:${ports[1]}" --name group --work 30 --drops yes \
    --resets "$resets" > "$work/group.log" & started+=($!)
"$program" serve "$work/settings.sexp" > "$work/serve.log" 2>&1 & started+=($!)
await "listening grpc" "$work/serve.log"
"$stand_ins" client --to "127.0.0.1:${ports[2]}" --name with-id --models 4 --count 200 --gap 50 \
    > "$work/with-id.log" || cannot "a client failed"
"$stand_ins" client --to "127.0.0.1:${ports[2]}" --name without-id --models 4 --count 200 --gap 50 --ids no \
    > "$work/without-id.log" || cannot "a client failed"

sort -n "$work/group.log" "$work/with-id.log" "$work/without-id.log" >> "$record"
served=$(grep -c "client ends .*status=OK" "$record")
[ "$served" -ge 300 ] || cannot "only $served of 400 calls were served"
resets_seen=$(grep -c "group resets-the-connection" "$record")
[ "$trouble" = 0 ] || [ "$resets_seen" -ge 10 ] || cannot "only $resets_seen connections were reset"
# A client sends each input once. What ran twice had its effect twice.
twice() { awk -v of="input=$1-" '$3 == "has-run" && index($5, of) == 1 { n[$5]++ } END { for (i in n) if (n[i] > 1) c++; print c + 0 }' "$record"; }
say "served: $served; resets: $resets_seen; run twice: with an id $(twice with-id), without one $(twice without-id)"
[ "$(twice with-id)" = 0 ] && [ "$(twice without-id)" = 0 ] || exit 1
