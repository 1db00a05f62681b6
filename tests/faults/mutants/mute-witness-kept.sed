# file: lib/peer/permit.c
# script: partition
/memb_set_unresponsive (peer->memb, permit->witness, true);/d
