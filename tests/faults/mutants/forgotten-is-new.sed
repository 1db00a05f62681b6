# file: lib/claim/table.c
# script: resubmit
s/return key->epoch <= table->own->floor ? CLAIM_FORGOTTEN : CLAIM_NEW/return CLAIM_NEW/
