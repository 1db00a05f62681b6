# file: lib/claim/table.c
# script: resubmit
# change: a key of a forgotten epoch counts as new
s/return key->epoch <= table->own->floor ? CLAIM_FORGOTTEN : CLAIM_NEW/return CLAIM_NEW/
