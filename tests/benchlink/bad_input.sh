#!/bin/sh
# Malformed input ends the adapter with one line of error text and a non-zero exit status.
link=$1
bad() {
  said=$(printf '%b' "$1" | "$link" 2>&1 >/dev/null) && { echo "accepted: $1"; exit 1; }
  [ "$(printf '%s\n' "$said" | wc -l)" -eq 1 ] || { echo "not one line: $said"; exit 1; }
  case $said in *"$2"*) ;; *) echo "said '$said', wanted '$2'"; exit 1 ;; esac
}
clock='{"Clock":{"at-time-s":1.5}}\n'
bad "${clock}{\"Ask\":\n" "line 2: not a JSON message"
bad "${clock}{\"Nonsense\":{\"head-id\":\"head-0\"}}\n" "never started"
bad "{\"Timer\":{\"head-id\":\"head-0\",\"mark\":1}}\n" "outside a batch"
bad "{\"Clock\":{}}\n" "missing field 'at-time-s'"
bad "{\"Clock\":{\"at-time-s\":\"now\"}}\n" "field 'at-time-s' is of the wrong type"
bad "${clock}{\"PowerOn\":{\"head-id\":\"head-0\",\"random-seed\":1}}\n" "missing field 'conf'"
bad "${clock}{\"Manifest\":{\"set-id\":1}}\n" "missing field 'members-list'"
bad "${clock}" "inside a batch"
[ "$(printf "${clock}{\"EofBatch\":{}}\n" | "$link")" = '{"Eor":{}}' ] || { echo "an empty batch failed"; exit 1; }
