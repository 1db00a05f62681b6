# file: lib/peer/permit.c
# script: partition
# change: a witness that does not answer stays the witness
/memb_set_unresponsive (peer->memb, permit->witness, true);/d
