/*
 * relay_head.c - what the headers between nodes say of a request.
 */
#include "gate/relay_head.h"

#include <string.h>
#include <strings.h>

#define STATUS_BAD_GATEWAY 502
#define STATUS_GATEWAY_TIMEOUT 504

bool bct_relay_is_own_header(const char *name)
{
	return !strncasecmp(name, BCT_RELAY_AUTH_HEADER, strlen(BCT_RELAY_AUTH_HEADER));
}

void bct_relay_put_outcome(const bct_answer_opts_t *o, struct evbuffer *out)
{
	const char *outcome = "not_run";

	if (o->status == STATUS_BAD_GATEWAY || o->status == STATUS_GATEWAY_TIMEOUT)
		outcome = "unknown";
	else if (o->limited)
		outcome = "limited";
	else if (o->elsewhere)
		outcome = "elsewhere";
	evbuffer_add_printf(out, BCT_RELAY_OUTCOME_HEADER ": %s\r\n", outcome);
}
