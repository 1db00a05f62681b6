# Generates the settings struct, its table and the documentation page.
BEGIN {
  h = "lib/conf/settings.gen.h"; c = "lib/conf/settings.gen.c"; d = "docs/settings.md"
  print "/* Generated from schema/settings.txt. */\n#pragma once\n\n/* Settings of the entry daemon; units are in the names and in\n   docs/settings.md.  */\nstruct conf\n{" > h
  print "/* Generated from schema/settings.txt. */\n#include \"conf.h\"\n#include <stddef.h>\n\nconst struct conf_item conf_table[] = {" > c
  print "# Settings of papayaloftd\n\nGenerated from `schema/settings.txt`. A flag wins over its environment variable, which wins over the default.\n`papayaloftd --check` prints the settings in force.\n\n| flag | environment | default | range | unit | meaning |\n|---|---|---|---|---|---|" > d
}
/^#/ || NF == 0 { next }
{
  text = $7; for (i = 8; i <= NF; i++) text = text " " $i
  id = $1; gsub(/-/, "_", id); env = "PAPAYALOFT_" toupper(id)
  def = $3 == "-" ? "" : $3
  if ($2 == "int") printf "  long %s;\n", id > h; else printf "  char *%s;\n", id > h
  printf "  { .flag = \"%s\", .env = \"%s\", .type = CONF_%s,\n    .def = \"%s\", .min = %s, .max = %s, .unit = \"%s\",\n    .help = \"%s\",\n    .offset = offsetof (struct conf, %s) },\n", $1, env, toupper($2), def, $4, $5, $6, text, id > c
  range = $2 == "int" ? $4 " to " $5 : $4 " to " $5 " characters"
  printf "| `--%s` | `%s` | `%s` | %s | %s | %s |\n", $1, env, def, range, $6, text > d
}
END {
  print "};" > h
  print "};\n\nconst unsigned conf_count = sizeof conf_table / sizeof conf_table[0];" > c
}
