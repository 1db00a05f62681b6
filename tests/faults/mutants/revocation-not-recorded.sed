# file: lib/claim/witness.c
# script: pause
/^claim_revoke/,/^}/s/add_entry (witness, witness->revoked, &group->revoked, hash)/(void)group/
