# file: lib/claim/witness.c
# script: pause
/^claim_permit/,/^}/s/contains (table->revoked/contains (table->permitted/
