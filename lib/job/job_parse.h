/* Private to lib/job: members of a submission's body.  */
#pragma once

#include <jansson.h>

#include "job.h"

struct job_parse
{
  struct job_req *req; /* PARSE_ERR and the members after it are set */
  const struct job_limits *limits;
  const struct note_conf *conf;
};

/* Body of "/v1/jobs".  */
bool job_parse_job (struct job_parse *parse, json_t *root);
/* Body of "/v1/services/<service>/<kind>"; both names are set in REQ.  */
bool job_parse_call (struct job_parse *parse, json_t *root);
