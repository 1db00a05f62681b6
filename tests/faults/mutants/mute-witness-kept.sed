# file: lib/peer/permit.c
# script: partition
/memb_set_mute (peer->memb, permit->witness, true);/d
