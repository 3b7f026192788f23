#!/bin/sh
# Plays the case: see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
exec ../play.sh reused-address "$PWD"
