# Generates the log events' enum, table and catalogue.
BEGIN {
  h = "lib/base/events.gen.h"; c = "lib/base/events.gen.c"; d = "docs/events.md"
  print "/* Generated from schema/events.txt. */\n#pragma once\n\n/* Numbered log events; see docs/events.md.  */\nenum pl_event\n{" > h
  print "/* Generated from schema/events.txt. */\n#include \"pl.h\"\n\nconst struct pl_event_info pl_event_table[] = {" > c
  print "# Log events\n\nGenerated from `schema/events.txt`. Each line has the event's number and name, and the fields as `key=value`\n(with `--log-format json`, as members).\n\n| event | name | level | fields | meaning |\n|---|---|---|---|---|" > d
}
/^#/ || NF == 0 { next }
{
  split($0, half, " \\| ")
  n = split(half[1], w, " ")
  fields = ""; for (i = 4; i <= n; i++) fields = fields (i > 4 ? ", " : "") "`" w[i] "`"
  lv["error"] = "CRITICAL"; lv["warning"] = "WARNING"; lv["notice"] = "MESSAGE"; lv["info"] = "INFO"
  printf "  PL_EV_%s = %s,\n", w[2], w[1] > h
  printf "  { .event = PL_EV_%s, .name = \"%s\", .level = G_LOG_LEVEL_%s },\n", w[2], w[2], lv[w[3]] > c
  printf "| %s | `%s` | %s | %s | %s |\n", w[1], w[2], w[3], fields, half[2] > d
}
END {
  print "};" > h
  print "};\n\nconst unsigned pl_event_count\n  = sizeof pl_event_table / sizeof pl_event_table[0];" > c
}
