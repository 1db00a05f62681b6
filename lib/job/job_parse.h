/* Private to lib/job: parsing the body of a submission.  */
#pragma once

#include <jansson.h>

#include "job.h"

struct job_parser
{
  struct job_req *req; /* the result: PARSE_ERR and what follows it */
  const struct job_limits *limits;
  const struct note_conf *conf;
};

/* Parses the body of "/v1/jobs".  */
bool job_parse_jobs_body (struct job_parser *parser, json_t *root);
/* Parses the body of "/v1/services/<service>/<kind>"; REQ has both names
   already.  */
bool job_parse_service_body (struct job_parser *parser, json_t *root);
