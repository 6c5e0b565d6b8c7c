/*
 * fake_service.c - simulates a plain service. Counts runs by key: the Idempotency-Key header, else
 * the marker [[key=NAME]] in the body, else the path.
 */
#include "standin/standin.h"

#include "base/rng.h"

#include <string.h>

#define KEY_BYTES 128

static struct {
	json_t *runs;	  /* key: number of runs */
	json_t *attempts; /* attempt id: number of runs */
	int64_t total;	  /* runs in all */
	int service_ms;	  /* duration of a run */
	/* Faults; those with "next N" are decremented for each request that they affect. */
	int64_t hang;		  /* next N requests run but are never answered */
	int64_t reset_after;	  /* next N requests run, then the connection is reset */
	int64_t close_after_read; /* next N requests run, then the connection is closed */
	int64_t busy;		  /* next N requests get 503 and do not run */
	int64_t crossed;	  /* next N answers have another attempt's id */
	int64_t slow_ms;	  /* added to the duration of each run */
	int64_t down;		  /* 1: connections are reset before a request runs */
} svc;

static const bct_fake_fault_t faults[] = {
	{ "hang", &svc.hang },
	{ "reset_after", &svc.reset_after },
	{ "close_after_read", &svc.close_after_read },
	{ "busy", &svc.busy },
	{ "crossed", &svc.crossed },
	{ "slow_ms", &svc.slow_ms },
	{ "down", &svc.down },
	{ NULL, NULL },
};

static void request_key(bct_fake_req_t *req, char out[KEY_BYTES])
{
	const char *key = bct_fake_header(req, "Idempotency-Key");
	const char *mark = req->body.data ? strstr(req->body.data, "[[key=") : NULL;

	if (key) {
		snprintf(out, KEY_BYTES, "%s", key);
	} else if (mark) {
		mark += strlen("[[key=");
		snprintf(out, KEY_BYTES, "%.*s", (int)strcspn(mark, "]"), mark);
	} else {
		snprintf(out, KEY_BYTES, "%s", req->path);
	}
}

/* Counts a run. */
static void run(bct_fake_req_t *req, const char *key)
{
	const char *attempt = bct_fake_header(req, "Chute-Attempt");

	bct_fake_count(svc.runs, key);
	if (attempt)
		bct_fake_count(svc.attempts, attempt);
	svc.total++;
}

static enum MHD_Result answer(bct_fake_req_t *req, const char *key)
{
	json_t *body = json_pack("{sssssI}", "key", key, "path", req->path, "run",
				 json_integer_value(json_object_get(svc.runs, key)));

	if (bct_fake_fault_consume(&svc.crossed))
		return bct_fake_reply_as(req, MHD_HTTP_OK, body, "00000000deadbeef", NULL);
	return bct_fake_reply(req, MHD_HTTP_OK, body);
}

/* Runs a request and answers it. Steps: 0 new, 1 has run. */
static enum MHD_Result serve(bct_fake_req_t *req)
{
	char key[KEY_BYTES];

	request_key(req, key);
	if (req->step > 0)
		return answer(req, key);
	if (svc.down)
		return bct_fake_reset(req);
	if (bct_fake_fault_consume(&svc.busy))
		return bct_fake_reply_as(req, MHD_HTTP_SERVICE_UNAVAILABLE, NULL,
					 bct_fake_header(req, "Chute-Attempt"), "1");
	run(req, key);
	req->step = 1;
	if (bct_fake_fault_consume(&svc.reset_after))
		return bct_fake_reset(req);
	if (bct_fake_fault_consume(&svc.close_after_read))
		return MHD_NO;
	if (bct_fake_fault_consume(&svc.hang))
		return bct_fake_wait(req, BCT_TIME_NEVER);
	if (svc.service_ms + svc.slow_ms > 0)
		return bct_fake_wait(req, bct_clock_now() + svc.service_ms + svc.slow_ms);
	return answer(req, key);
}

static enum MHD_Result handle(bct_fake_req_t *req)
{
	if (bct_fake_is(req, "GET", "/admin/runs"))
		return bct_fake_reply(req, MHD_HTTP_OK, json_incref(svc.runs));
	if (bct_fake_is(req, "GET", "/admin/stats"))
		return bct_fake_reply(req, MHD_HTTP_OK,
				      json_pack("{sIsO}", "runs", (json_int_t)svc.total, "attempts",
						svc.attempts));
	return serve(req);
}

int main(int argc, const char **argv)
{
	const struct poptOption options[] = { { "service-ms", 0, POPT_ARG_INT, &svc.service_ms, 0,
						"duration of a run", "MS" },
					      POPT_TABLEEND };
	const bct_fake_ops_t ops = { .handle = handle };

	svc.runs = json_object();
	svc.attempts = json_object();
	return bct_fake_main(&(bct_fake_t){ .ops = &ops, .options = options, .faults = faults },
			     argc, argv);
}
