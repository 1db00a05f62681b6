# Generates the result codes' enum, table and documentation page.
BEGIN {
  h = "lib/base/codes.gen.h"; c = "lib/base/codes.gen.c"; d = "docs/codes.md"
  print "/* Generated from schema/codes.txt. */\n#pragma once\n\n/* Numbered results; see docs/codes.md.  */\nenum pl_code\n{" > h
  print "/* Generated from schema/codes.txt. */\n#include \"pl.h\"\n\nconst struct pl_code_info pl_code_table[] = {" > c
  print "# Result codes\n\nGenerated from `schema/codes.txt`. `outcome` says what is known to have happened: `not_run` is proved and final,\n`unknown` means that tasks may have started. `resubmit` says what a caller may do: `new_key` (submit again with a\nnew idempotency key), `same_key` (ask again with the same key, it never starts twice), `no` (correct the request or\nact on the answer).\n\n| code | name | HTTP | outcome | resubmit | meaning |\n|---|---|---|---|---|---|" > d
}
/^#/ || NF == 0 { next }
{
  text = $6; for (i = 7; i <= NF; i++) text = text " " $i
  up = toupper($4)
  r = $5 == "-" ? "no" : $5
  printf "  PL_%s = %s,\n", $2, $1 > h
  printf "  { .code = PL_%s, .name = \"%s\", .http = %s,\n    .outcome = PL_OUTCOME_%s, .resubmit = \"%s\" },\n", $2, $2, $3, up, r > c
  printf "| %s | `%s` | %s | %s | %s | %s |\n", $1, $2, $3, $4, $5, text > d
}
END {
  print "};" > h
  print "};\n\nconst unsigned pl_code_count\n  = sizeof pl_code_table / sizeof pl_code_table[0];" > c
}
