#!/bin/sh
# Plays a scene of the stand-ins in a case's folder: play.sh SCENE FOLDER. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run. Writes FOLDER/record.txt.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/.." && pwd) || exit 2
[ -x "$root/target/release/ferryyoke" ] && [ -x "$root/target/review/standin" ] || exit 2
work=$(mktemp -d) || exit 2
timeout -k 2 115 "$root/target/review/standin" "$1" "$root" "$work" "$2/record.txt"
code=$?
if [ "$code" -gt 2 ] && [ -f "$work/pids" ]; then
  # The scene was cut: it ends what it started only when it ends by itself.
  while read -r pid; do
    grep -q ferryyoke "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid"
  done < "$work/pids"
fi
if [ "${KEEP:-0}" = 1 ]; then echo "the daemons' logs: $work"; else rm -rf "$work"; fi
[ "$code" -le 2 ] || code=2
exit "$code"
