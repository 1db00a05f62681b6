# Generates the metric counters' enum and table.
BEGIN {
  h = "lib/base/counters.gen.h"; c = "lib/base/counters.gen.c"
  print "/* Generated from schema/counters.txt. */\n#pragma once\n\n/* Metrics of a process; names and meanings in schema/counters.txt.  */\nenum pl_counter\n{" > h
  print "/* Generated from schema/counters.txt. */\n#include \"pl.h\"\n\nconst struct pl_counter_info pl_counter_table[PL_CTR_COUNT] = {" > c
}
/^#/ || NF == 0 { next }
{
  text = $3; for (i = 4; i <= NF; i++) text = text " " $i
  printf "  PL_CTR_%s,\n", toupper($1) > h
  printf "  { .name = \"papayaloft_%s\", .type = \"%s\",\n    .help = \"%s\" },\n", $1, $2, text > c
}
END { print "  PL_CTR_COUNT,\n};" > h; print "};" > c }
