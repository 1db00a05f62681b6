# file: lib/claim/witness.c
# script: pause
# change: the witness does not record a revocation
/^claim_revoke/,/^}/s/add_entry (witness, witness->revoked, &group->revoked, hash)/(void)group/
