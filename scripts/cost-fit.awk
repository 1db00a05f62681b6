# Fits the data of scripts/cost by least squares: one line for each section and
# quantity, with the number of values, the explained part of the variance (r2), the
# intercept and the slope of each variable.
BEGIN { FS = "\t" }
{
  key = $1 "\t" $2
  if (!(key in count)) order[++keys] = key
  n = ++count[key]
  y[key, n] = $3
  vars = split($4, pair, " ")
  width[key] = vars
  x[key, n, 0] = 1
  for (i = 1; i <= vars; i++) {
    split(pair[i], side, "=")
    name[key, i] = side[1]
    x[key, n, i] = side[2]
  }
}
# Solves the normal equations by Gaussian elimination; the coefficients are in
# m[i, w + 1]. Returns 0 if the matrix is singular.
function solve(key, w, n,    i, j, k, r, f, p, t) {
  for (i = 0; i <= w; i++) {
    for (j = 0; j <= w; j++) {
      m[i, j] = 0
      for (r = 1; r <= n; r++) m[i, j] += x[key, r, i] * x[key, r, j]
    }
    m[i, w + 1] = 0
    for (r = 1; r <= n; r++) m[i, w + 1] += x[key, r, i] * y[key, r]
  }
  for (i = 0; i <= w; i++) {
    p = m[i, i]
    if (p < 1e-12 && p > -1e-12) return 0
    for (j = i; j <= w + 1; j++) m[i, j] /= p
    for (k = 0; k <= w; k++) {
      if (k == i) continue
      f = m[k, i]
      for (j = i; j <= w + 1; j++) m[k, j] -= f * m[i, j]
    }
  }
  return 1
}
END {
  printf "%-14s %-24s %3s %6s %14s  %s\n", "section", "quantity", "n", "r2", "intercept", "slopes"
  for (q = 1; q <= keys; q++) {
    key = order[q]; n = count[key]; w = width[key]
    split(key, part, "\t")
    if (n <= w || !solve(key, w, n)) {
      printf "%-14s %-24s %3d  no fit\n", part[1], part[2], n
      continue
    }
    mean = 0; rest = 0; all = 0
    for (r = 1; r <= n; r++) mean += y[key, r] / n
    for (r = 1; r <= n; r++) {
      e = y[key, r]
      for (i = 0; i <= w; i++) e -= m[i, w + 1] * x[key, r, i]
      rest += e * e; all += (y[key, r] - mean) ^ 2
    }
    text = ""
    for (i = 1; i <= w; i++) text = text sprintf(" %s=%.4g", name[key, i], m[i, w + 1])
    printf "%-14s %-24s %3d %6.3f %14.4g %s\n", part[1], part[2], n, (all > 0 ? 1 - rest / all : 1), m[0, w + 1], text
  }
}
