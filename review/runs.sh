#!/usr/bin/env bash
# Runs the script of a case five times with its disruption and twice without, and prints the exit codes. Usage: review/runs.sh CASE
cd "$(dirname "$0")/$1" || exit 2
for _ in 1 2 3 4 5; do ./run.sh; printf 'exit %s: %s\n' $? "$(grep RESULT record.txt)"; done
cp record.txt record-kept.txt
for _ in 1 2; do TROUBLE=0 ./run.sh; printf 'TROUBLE=0 exit %s: %s\n' $? "$(grep RESULT record.txt)"; done
mv record-kept.txt record.txt
