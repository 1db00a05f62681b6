# file: lib/claim/witness.c
# script: pause
# change: the witness grants a permit for a revoked key
/^claim_permit/,/^}/s/contains (table->revoked/contains (table->permitted/
