/* Splits a snapshot into chunks, and reads and verifies them.  */
#include "snapshot.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* The 256 bytes are left for the header of the chunk.  */
#define CHUNK_BYTES (512 * 1024 - 256)

/* A chunk starts with a line that identifies its document, so that chunks of
   two documents are never joined.  */
struct chunk_head
{
  long long revision;
  unsigned index;
  unsigned count;
  size_t bytes;            /* of the document */
  unsigned long long hash; /* XXH3 of the document */
};

#define CHUNK_HEAD_FORMAT "papayaloft-snapshot %lld %u %u %zu %016llx\n"

static char *
chunk_key (unsigned index)
{
  return g_strdup_printf ("papayaloft/snapshot/%u", index);
}

static GBytes *
make_chunk (struct pl_str document, struct chunk_head head)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, CHUNK_HEAD_FORMAT, head.revision, head.index,
                          head.count, head.bytes, head.hash);
  size_t offset = (size_t)head.index * CHUNK_BYTES;
  g_string_append_len (text, document.data + offset,
                       (gssize)MIN (CHUNK_BYTES, document.len - offset));
  return g_string_free_to_bytes (text);
}

GArray *
snapshot_puts (struct pl_str document, int64_t revision)
{
  GArray *puts = g_array_new (FALSE, FALSE, sizeof (struct plat_put));
  struct chunk_head head
      = { .revision = revision,
          .count = (unsigned)((document.len + CHUNK_BYTES - 1) / CHUNK_BYTES),
          .bytes = document.len,
          .hash = XXH3_64bits (document.data, document.len) };
  for (; head.index < head.count; head.index++)
    {
      struct plat_put put = { .key = chunk_key (head.index),
                              .value = make_chunk (document, head) };
      g_array_append_val (puts, put);
    }
  return puts;
}

void
snapshot_puts_free (GArray *puts)
{
  for (guint i = 0; i < puts->len; i++)
    {
      struct plat_put *put = &g_array_index (puts, struct plat_put, i);
      g_free ((char *)put->key);
      g_bytes_unref (put->value);
    }
  g_array_unref (puts);
}

size_t
snapshot_puts_bytes (const GArray *puts)
{
  size_t sum = 0;
  for (guint i = 0; i < puts->len; i++)
    sum += g_bytes_get_size (g_array_index (puts, struct plat_put, i).value);
  return sum;
}

/* Parses the header line and returns the payload of LEN bytes; null if the
   line is malformed.  */
static const char *
parse_chunk (GBytes *value, struct chunk_head *head, size_t *len)
{
  gsize size;
  const char *data = g_bytes_get_data (value, &size);
  const char *end = size == 0 ? NULL : memchr (data, '\n', MIN (size, 200));
  if (end == NULL)
    return NULL;
  g_autofree char *line = g_strndup (data, (gsize)(end - data + 1));
  if (sscanf (line, "papayaloft-snapshot %lld %u %u %zu %llx", &head->revision,
              &head->index, &head->count, &head->bytes, &head->hash)
      != 5)
    return NULL;
  *len = size - (size_t)(end + 1 - data);
  return end + 1;
}

/* Appends chunk INDEX to DOCUMENT if it is valid and belongs to the same
   document as chunk 0, whose header FIRST is.  False with ERR set if the store
   could not be read.  */
static bool
read_chunk (struct plat *plat, unsigned index, struct chunk_head *first,
            GString *document, bool *valid, struct pl_err *err)
{
  g_autofree char *key = chunk_key (index);
  struct plat_value value;
  *valid = false;
  if (!plat->ops->get (plat, key, &value, err))
    return false;
  if (value.value == NULL)
    return true;
  struct chunk_head head = { 0 };
  size_t len = 0;
  const char *payload = parse_chunk (value.value, &head, &len);
  if (payload != NULL && index == 0)
    *first = head;
  *valid = payload != NULL && head.index == index && len <= CHUNK_BYTES
           && head.revision == first->revision && head.hash == first->hash
           && head.bytes == first->bytes && head.count == first->count
           && head.count >= 1 && head.count <= MAX_SNAPSHOT_CHUNKS;
  if (*valid)
    g_string_append_len (document, payload, (gssize)len);
  g_bytes_unref (value.value);
  return true;
}

bool
snapshot_read (struct plat *plat, GBytes **out, struct pl_err *err)
{
  struct chunk_head first = { .count = 1 };
  GString *document = g_string_new (NULL);
  bool ok = true;
  bool valid = true;
  for (unsigned i = 0; ok && valid && i < first.count; i++)
    ok = read_chunk (plat, i, &first, document, &valid, err);
  valid = ok && valid && document->len == first.bytes
          && XXH3_64bits (document->str, document->len) == first.hash;
  *out = valid ? g_bytes_new (document->str, document->len) : NULL;
  g_string_free (document, TRUE);
  return ok;
}
