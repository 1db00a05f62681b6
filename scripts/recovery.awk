# Share of submitted jobs that were answered with OK, by failure domain, and the
# seconds until service is back, from instances' log lines with a time in
# seconds and the instance's name before each:
#   awk -v fault=6 -v until=20 -f scripts/recovery.awk LOG
# Back: the first second of submission from which all later ones have 0.9
# or more. Callers that reach no instance are not in the logs.

BEGIN {
  STEP = 1
  BACK = 0.9
}

function value(name,  at, rest) {
  at = index($0, "\"" name "\":\"")
  if (at == 0)
    return ""
  rest = substr($0, at + length(name) + 4)
  return substr(rest, 1, index(rest, "\"") - 1)
}

/"name":"START"/ { domain[$2] = value("domain") }

/"name":"SUBMIT"/ {
  key = value("key")
  if (domain[$2] == "")
    next # its start is not in the log
  slot = int($1 / STEP)
  from[key] = domain[$2] SUBSEP slot
  asked[from[key]]++
  domains[domain[$2]] = 1
}

/"name":"DONE"/ {
  key = value("key")
  if (key in from && value("code") == "OK")
    good[from[key]]++
}

function share(d, slot) {
  return asked[d, slot] ? good[d, slot] / asked[d, slot] : -1
}

END {
  for (d in domains) {
    last = int(until / STEP) - 1
    first = int(fault / STEP)
    back = first
    worst = 1
    n = g = 0
    for (slot = first; slot <= last; slot++) {
      s = share(d, slot)
      n += asked[d, slot]
      g += good[d, slot]
      if (s < worst)
        worst = s < 0 ? 0 : s
      if (s < BACK)
        back = slot + 1
    }
    printf "%s\tserved %.3f\tworst second %.2f\tback after %.1f s\n", \
      d, n ? g / n : 0, worst, (back - first) * STEP
  }
}
