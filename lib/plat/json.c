/* Numbers and bytes as the etcd JSON gateway writes them.  */
#include "etcd.h"

#include <string.h>

bool
etcd_get_int (const json_t *object, const char *name, int64_t *out)
{
  const json_t *value = json_object_get (object, name);
  *out = 0;
  if (value == NULL)
    return true;
  if (json_is_integer (value))
    {
      *out = json_integer_value (value);
      return *out >= 0;
    }
  return json_is_string (value)
         && pl_str_to_int (pl_str (json_string_value (value)), 0, INT64_MAX,
                           out);
}

json_t *
etcd_int (int64_t value)
{
  return json_sprintf ("%lld", (long long)value);
}

json_t *
etcd_bytes (const void *data, size_t len)
{
  g_autofree char *text = g_base64_encode (data, len);
  return json_string (text);
}

/* GLib's decoder skips characters that are not base64.  To refuse them, the
   decoded bytes are encoded again and compared with the text.  */
GBytes *
etcd_get_bytes (const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);
  if (value == NULL)
    return g_bytes_new (NULL, 0);
  const char *text = json_string_value (value);
  if (text == NULL)
    return NULL;
  gsize len;
  guchar *data = g_base64_decode (text, &len);
  g_autofree char *encoded_again = g_base64_encode (data, len);
  if (strcmp (encoded_again, text) == 0)
    return g_bytes_new_take (data, len);
  g_free (data);
  return NULL;
}
