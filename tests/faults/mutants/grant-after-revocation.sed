# file: lib/claim/witness.c
# script: pause
/^claim_permit/,/^}/s/contains (witness->revoked/contains (witness->permitted/
