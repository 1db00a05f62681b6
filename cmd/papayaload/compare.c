/* Compares reports in a table and in a plot of response times.  */
#include "load.h"

#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define PLOT_WIDTH 640
#define PLOT_HEIGHT 400
#define PLOT_MARGIN 50
#define PLOT_MAX_RATIO 8.0 /* upper end of the logarithmic axis */

static const char *const colours[]
    = { "#1b6ca8", "#c8553d", "#3a7d44", "#7d5ba6", "#b8860b" };

static double
number (const json_t *object, const char *name)
{
  return json_number_value (json_object_get (object, name));
}

static void
print_row (const char *file, const json_t *root, const json_t *first)
{
  const json_t *total = json_object_get (root, "total");
  const json_t *messages = json_object_get (root, "messages");
  double base = number (json_object_get (first, "total"), "mean");
  double mean = number (total, "mean");
  printf ("%-32s %8.0f %8.0f %8.3f %8.3f %8.3f %9.3f %10.4f\n", file,
          number (total, "jobs"), number (total, "complete"), mean,
          number (total, "p50"), number (total, "p99"),
          base > 0 ? mean / base : 0, number (messages, "wasted_per_start"));
}

static double
plot_y (double ratio)
{
  double clamped = CLAMP (ratio, 1.0, PLOT_MAX_RATIO);
  double share = log (clamped) / log (PLOT_MAX_RATIO);
  return PLOT_HEIGHT - PLOT_MARGIN - share * (PLOT_HEIGHT - 2 * PLOT_MARGIN);
}

static double
plot_x (int percent)
{
  return PLOT_MARGIN + percent / 100.0 * (PLOT_WIDTH - 2 * PLOT_MARGIN);
}

static void
plot_axes (FILE *out)
{
  fprintf (out,
           "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
           "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
           "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
           "<text x=\"%d\" y=\"20\">response time / ideal by quantile of "
           "complete jobs</text>\n",
           PLOT_WIDTH, PLOT_HEIGHT, PLOT_MARGIN);
  static const double marks[] = { 1, 1.1, 1.5, 2, 4, 8 };
  for (unsigned i = 0; i < G_N_ELEMENTS (marks); i++)
    fprintf (out,
             "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
             "stroke=\"#ddd\"/><text x=\"15\" y=\"%.1f\">%g</text>\n",
             PLOT_MARGIN, PLOT_WIDTH - PLOT_MARGIN, plot_y (marks[i]),
             plot_y (marks[i]), plot_y (marks[i]) + 4, marks[i]);
  for (int q = 0; q <= 100; q += 25)
    fprintf (out, "<text x=\"%.1f\" y=\"%d\">%d%%</text>\n", plot_x (q) - 10,
             PLOT_HEIGHT - PLOT_MARGIN + 18, q);
}

static void
plot_line (FILE *out, const char *file, const json_t *root, int index)
{
  const char *colour = colours[index % (int)G_N_ELEMENTS (colours)];
  json_t *quantiles
      = json_object_get (json_object_get (root, "total"), "quantiles");
  fprintf (out, "<polyline fill=\"none\" stroke=\"%s\" points=\"", colour);
  for (int q = 0; q <= 100; q++)
    fprintf (
        out, "%.1f,%.1f ", plot_x (q),
        plot_y (json_number_value (json_array_get (quantiles, (size_t)q))));
  g_autofree char *name = g_path_get_basename (file);
  fprintf (out, "\"/>\n<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n",
           PLOT_MARGIN + 10, PLOT_MARGIN + 16 * index, colour, name);
}

static bool
write_plot (const char *svg, char *const *files, json_t **roots, int n)
{
  FILE *out = fopen (svg, "w");
  if (out == NULL)
    return false;
  plot_axes (out);
  for (int i = 0; i < n; i++)
    plot_line (out, files[i], roots[i], i);
  fputs ("</svg>\n", out);
  return fclose (out) == 0;
}

int
load_compare (char *const *files, int n, const char *svg)
{
  json_t **roots = g_new0 (json_t *, n);
  int status = 0;
  printf ("%-32s %8s %8s %8s %8s %8s %9s %10s\n", "report", "jobs", "complete",
          "mean", "p50", "p99", "to first", "waste/start");
  for (int i = 0; i < n; i++)
    {
      json_error_t error;
      roots[i] = json_load_file (files[i], 0, &error);
      if (roots[i] == NULL)
        {
          fprintf (stderr, "papayaload: %s: %s\n", files[i], error.text);
          status = 2;
          break;
        }
      print_row (files[i], roots[i], roots[0]);
    }
  if (status == 0 && svg != NULL && !write_plot (svg, files, roots, n))
    {
      fprintf (stderr, "papayaload: can't write %s\n", svg);
      status = 2;
    }
  for (int i = 0; i < n; i++)
    json_decref (roots[i]);
  g_free (roots);
  return status;
}
