/* Splits a snapshot into chunks, and reads and verifies them.  */
#include "snapshot.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Bytes of the snapshot in one chunk; 256 bytes are left for the header.  */
#define CHUNK_BYTES (512 * 1024 - 256)

/* A chunk starts with a line that identifies its snapshot, so that chunks of
   two snapshots are never joined.  */
struct chunk_header
{
  long long revision;
  unsigned index;
  unsigned count;
  size_t bytes;            /* of the snapshot */
  unsigned long long hash; /* XXH3 of the snapshot */
};

#define CHUNK_HEADER_FORMAT "papayaloft-snapshot %lld %u %u %zu %016llx\n"

static char *
chunk_key (unsigned index)
{
  return g_strdup_printf ("papayaloft/snapshot/%u", index);
}

static GBytes *
make_chunk (struct pl_str snapshot, struct chunk_header header)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, CHUNK_HEADER_FORMAT, header.revision,
                          header.index, header.count, header.bytes,
                          header.hash);
  size_t offset = (size_t)header.index * CHUNK_BYTES;
  g_string_append_len (text, snapshot.data + offset,
                       (gssize)MIN (CHUNK_BYTES, snapshot.len - offset));
  return g_string_free_to_bytes (text);
}

GArray *
snapshot_split (struct pl_str snapshot, int64_t revision)
{
  GArray *puts = g_array_new (FALSE, FALSE, sizeof (struct plat_put));
  struct chunk_header header
      = { .revision = revision,
          .count = (unsigned)((snapshot.len + CHUNK_BYTES - 1) / CHUNK_BYTES),
          .bytes = snapshot.len,
          .hash = XXH3_64bits (snapshot.data, snapshot.len) };
  for (; header.index < header.count; header.index++)
    {
      struct plat_put put = { .key = chunk_key (header.index),
                              .value = make_chunk (snapshot, header) };
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
parse_chunk (GBytes *value, struct chunk_header *header, size_t *len)
{
  gsize size;
  const char *data = g_bytes_get_data (value, &size);
  const char *end = size == 0 ? NULL : memchr (data, '\n', MIN (size, 200));
  if (end == NULL)
    return NULL;
  g_autofree char *line = g_strndup (data, (gsize)(end - data + 1));
  if (sscanf (line, "papayaloft-snapshot %lld %u %u %zu %llx",
              &header->revision, &header->index, &header->count,
              &header->bytes, &header->hash)
      != 5)
    return NULL;
  *len = size - (size_t)(end + 1 - data);
  return end + 1;
}

/* Appends chunk INDEX to SNAPSHOT if it is valid and belongs to the same
   snapshot as chunk 0, whose header FIRST is.  False with ERR set if the store
   could not be read.  */
static bool
read_chunk (struct plat *plat, unsigned index, struct chunk_header *first,
            GString *snapshot, bool *valid, struct pl_err *err)
{
  g_autofree char *key = chunk_key (index);
  struct plat_value value;
  *valid = false;
  if (!plat->ops->get (plat, key, &value, err))
    return false;
  if (value.value == NULL)
    return true;
  struct chunk_header header = { 0 };
  size_t len = 0;
  const char *payload = parse_chunk (value.value, &header, &len);
  if (payload != NULL && index == 0)
    *first = header;
  *valid = payload != NULL && header.index == index && len <= CHUNK_BYTES
           && header.revision == first->revision && header.hash == first->hash
           && header.bytes == first->bytes && header.count == first->count
           && header.count >= 1 && header.count <= MAX_SNAPSHOT_CHUNKS;
  if (*valid)
    g_string_append_len (snapshot, payload, (gssize)len);
  g_bytes_unref (value.value);
  return true;
}

bool
snapshot_read (struct plat *plat, GBytes **out, struct pl_err *err)
{
  struct chunk_header first = { .count = 1 };
  GString *snapshot = g_string_new (NULL);
  bool ok = true;
  bool valid = true;
  for (unsigned i = 0; ok && valid && i < first.count; i++)
    ok = read_chunk (plat, i, &first, snapshot, &valid, err);
  valid = ok && valid && snapshot->len == first.bytes
          && XXH3_64bits (snapshot->str, snapshot->len) == first.hash;
  *out = valid ? g_bytes_new (snapshot->str, snapshot->len) : NULL;
  g_string_free (snapshot, TRUE);
  return ok;
}
