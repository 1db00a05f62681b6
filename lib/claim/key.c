/* Parsing and hashing of keys, and their prefixes.  */
#include "claim.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define MAX_DOMAIN_BYTES 32
#define MAX_SUFFIX_BYTES 64

static bool
is_name (struct pl_str s, size_t max)
{
  if (s.len == 0 || s.len > max)
    return false;
  for (size_t i = 0; i < s.len; i++)
    if (!g_ascii_isalnum (s.data[i]) && s.data[i] != '_' && s.data[i] != '-')
      return false;
  return true;
}

/* Moves the field before the next dot from REST to FIELD; false if there is no
   dot.  */
static bool
next_field (struct pl_str *rest, struct pl_str *field)
{
  const char *dot
      = rest->len == 0 ? NULL : memchr (rest->data, '.', rest->len);
  if (dot == NULL)
    return false;
  field->data = rest->data;
  field->len = (size_t)(dot - rest->data);
  rest->data = dot + 1;
  rest->len -= field->len + 1;
  return true;
}

/* Parses the id of an incarnation; 0 is not a valid one.  */
static bool
parse_id (struct pl_str s, claim_instance_id *out)
{
  return pl_str_to_hex64 (s, out) && *out != 0;
}

static bool
parse_witness (struct pl_str s, claim_instance_id *out)
{
  *out = 0;
  return pl_str_eq (s, pl_str ("0")) || parse_id (s, out);
}

/* Accepts only the form that claim_prefix_text writes.  With a sign or leading
   zeros one epoch would have several spellings.  */
static bool
parse_epoch (struct pl_str s, int64_t *out)
{
  if (s.len == 0 || s.data[0] < '1' || s.data[0] > '9')
    return false;
  return pl_str_to_int (s, 1, INT64_MAX, out);
}

bool
claim_key_parse (struct pl_str text, struct claim_key *out, struct pl_err *err)
{
  struct pl_str rest = text;
  struct pl_str owner;
  struct pl_str witness;
  struct pl_str epoch;
  if (!next_field (&rest, &out->domain) || !next_field (&rest, &owner)
      || !next_field (&rest, &witness) || !next_field (&rest, &epoch))
    return pl_fail (err, PL_KEY_MALFORMED,
                    "the key must have five fields separated by dots");
  out->suffix = rest;
  if (!is_name (out->domain, MAX_DOMAIN_BYTES))
    return pl_fail (err, PL_KEY_MALFORMED,
                    "the domain must be 1 to 32 of A-Z a-z 0-9 _ -");
  if (!parse_id (owner, &out->owner))
    return pl_fail (err, PL_KEY_MALFORMED,
                    "the owner must be 16 hexadecimal digits, not all zero");
  if (!parse_witness (witness, &out->witness))
    return pl_fail (err, PL_KEY_MALFORMED,
                    "the witness must be 0 or 16 hexadecimal digits");
  if (!parse_epoch (epoch, &out->epoch))
    return pl_fail (err, PL_KEY_MALFORMED,
                    "the epoch must be a decimal number from 1");
  if (!is_name (out->suffix, MAX_SUFFIX_BYTES))
    return pl_fail (err, PL_KEY_MALFORMED,
                    "the suffix must be 1 to 64 of A-Z a-z 0-9 _ -");
  return true;
}

struct claim_key_hash
claim_hash_key (struct pl_str text)
{
  XXH128_hash_t hash = XXH3_128bits (text.data, text.len);
  return (struct claim_key_hash){ .hi = hash.high64, .lo = hash.low64 };
}

char *
claim_prefix_text (const char *domain, claim_instance_id owner,
                   claim_instance_id witness, int64_t epoch,
                   char buf[CLAIM_PREFIX_TEXT])
{
  if (witness == 0)
    snprintf (buf, CLAIM_PREFIX_TEXT, "%s.%016" PRIx64 ".0.%" PRId64, domain,
              owner, epoch);
  else
    snprintf (buf, CLAIM_PREFIX_TEXT,
              "%s.%016" PRIx64 ".%016" PRIx64 ".%" PRId64, domain, owner,
              witness, epoch);
  return buf;
}
