/*
 * fake_platform.c - simulates the platform of docs/PLATFORM.md: log streams, VM list, weight store.
 */
#include "standin/standin.h"

#include "base/mem.h"

#include <sodium.h>
#include <string.h>

#define STREAM_NAME_BYTES 65
#define RECORD_MAX_BYTES (1u << 20)
#define READ_DEFAULT_BYTES (1 << 20)
#define WEIGHT_BYTES 1073741824

/* Processing state of a log call. */
enum {
	STEP_NEW = 0,
	STEP_DELAYED,  /* slow_ms: waits to take effect */
	STEP_WAITING,  /* a read waits for a record */
	STEP_APPENDED, /* slow_after_ms: took effect, waits to be answered */
};

typedef struct record {
	char *data;
	size_t len_bytes;
	bct_time_t at_ms;
} record_t;

typedef struct stream {
	bct_list_t link;
	char name[STREAM_NAME_BYTES];
	record_t *recs;	 /* index is the offset */
	uint64_t n;	 /* end offset */
	uint64_t cap;	 /* allocated records */
	uint64_t oldest; /* offset of the first record that is kept */
} stream_t;

static struct {
	bct_list_t streams;
	json_t *vms;
	int64_t vms_revision;
	int64_t appends, reads, lost_answers, weight_fetches;
	int weights_per_s;	   /* 0: no limit */
	bct_time_t weight_free_ms; /* time of the weight store's next rate-limit token */
	/* Faults; those with "next N" are decremented for each call that they affect. */
	int64_t outage;	 /* 1: connections are reset without an answer, nothing takes effect */
	int64_t refuse;	 /* 1: log calls get 503 */
	int64_t slow_ms; /* delay of each log call before it takes effect */
	int64_t slow_after_ms; /* delay of each append's answer after it took effect */
	int64_t lose_answers;  /* next N appends take effect, then the connection is reset */
	int64_t reset;	       /* next N log calls are reset before they take effect */
	int64_t hang;	       /* 1: log calls are never answered, nothing takes effect */
	int64_t expire_below;  /* records of all streams below this offset are dropped */
	int64_t retention_ms;  /* older records are dropped; 0: no limit */
} plat;

static const bct_fake_fault_t faults[] = {
	{ "outage", &plat.outage },
	{ "refuse", &plat.refuse },
	{ "slow_ms", &plat.slow_ms },
	{ "slow_after_ms", &plat.slow_after_ms },
	{ "lose_answers", &plat.lose_answers },
	{ "reset", &plat.reset },
	{ "hang", &plat.hang },
	{ "expire_below", &plat.expire_below },
	{ "retention_ms", &plat.retention_ms },
	{ NULL, NULL },
};

static bool stream_name_ok(const char *name)
{
	size_t n = strlen(name);

	return n > 0 && n < STREAM_NAME_BYTES &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789.-") == n;
}

/* Finds or creates a stream. */
static stream_t *stream_get(const char *name)
{
	bct_list_t *el;
	stream_t *s;

	bct_list_for_each(el, &plat.streams) {
		s = bct_container_of(el, stream_t, link);
		if (strcmp(s->name, name) == 0)
			return s;
	}
	s = bct_alloc(sizeof(*s));
	if (!s)
		return NULL;
	snprintf(s->name, sizeof(s->name), "%s", name);
	bct_list_add_tail(&s->link, &plat.streams);
	return s;
}

/* Drops records by age and by the expire_below fault. */
static void stream_expire(stream_t *s)
{
	bct_time_t now = bct_clock_now();

	while (s->oldest < s->n) {
		record_t *r = &s->recs[s->oldest];
		bool old = plat.retention_ms > 0 && now - r->at_ms > plat.retention_ms;

		if (!old && s->oldest >= (uint64_t)plat.expire_below)
			return;
		bct_free(r->data);
		r->data = NULL;
		s->oldest++;
	}
}

static int stream_append(stream_t *s, const void *data, size_t len_bytes)
{
	record_t *r;

	if (s->n == s->cap) {
		uint64_t cap = s->cap ? s->cap * 2 : 64;
		record_t *recs = bct_realloc(s->recs, cap * sizeof(*recs));

		if (!recs)
			return -1;
		s->recs = recs;
		s->cap = cap;
	}
	r = &s->recs[s->n];
	r->data = bct_alloc(len_bytes + 1);
	if (!r->data)
		return -1;
	if (len_bytes)
		memcpy(r->data, data, len_bytes);
	r->len_bytes = len_bytes;
	r->at_ms = bct_clock_now();
	s->n++;
	return 0;
}

static json_t *record_json(const record_t *r, uint64_t offset)
{
	size_t room = sodium_base64_ENCODED_LEN(r->len_bytes, sodium_base64_VARIANT_ORIGINAL);
	char *text = bct_alloc(room);
	json_t *out;

	if (!text)
		return NULL;
	sodium_bin2base64(text, room, (const unsigned char *)r->data, r->len_bytes,
			  sodium_base64_VARIANT_ORIGINAL);
	out = json_pack("{sIss}", "offset", (json_int_t)offset, "data", text);
	bct_free(text);
	return out;
}

static enum MHD_Result read_reply(bct_fake_req_t *req, const stream_t *s, uint64_t from)
{
	int64_t max_bytes = bct_fake_arg_int(req, "max_bytes", READ_DEFAULT_BYTES);
	json_t *records = json_array();
	uint64_t at = from;
	int64_t taken = 0;

	for (; at < s->n; at++) {
		int64_t len = (int64_t)s->recs[at].len_bytes;

		if (at > from && taken + len > max_bytes)
			break;
		json_array_append_new(records, record_json(&s->recs[at], at));
		taken += len;
	}
	plat.reads++;
	/* A reader past the end continues at the end. */
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{sosIsI}", "records", records, "next",
					(json_int_t)(from > s->n ? s->n : at), "oldest",
					(json_int_t)s->oldest));
}

static enum MHD_Result log_read(bct_fake_req_t *req, stream_t *s)
{
	int64_t from = bct_fake_arg_int(req, "from", 0);
	int64_t wait_ms = bct_fake_arg_int(req, "wait_ms", 0);
	bct_time_t now = bct_clock_now();

	if (from < 0)
		return bct_fake_reply(req, MHD_HTTP_BAD_REQUEST, NULL);
	stream_expire(s);
	if ((uint64_t)from < s->oldest)
		return bct_fake_reply(req, MHD_HTTP_GONE,
				      json_pack("{sI}", "oldest", (json_int_t)s->oldest));
	if (req->step != STEP_WAITING) {
		req->step = STEP_WAITING;
		req->deadline_ms = now + wait_ms;
	}
	if ((uint64_t)from >= s->n && now < req->deadline_ms)
		return bct_fake_wait(req, req->deadline_ms);
	return read_reply(req, s, (uint64_t)from);
}

static enum MHD_Result append_reply(bct_fake_req_t *req)
{
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{sI}", "offset", (json_int_t)req->value));
}

static enum MHD_Result log_append(bct_fake_req_t *req, stream_t *s)
{
	if (req->body.len_bytes > RECORD_MAX_BYTES)
		return bct_fake_reply(req, MHD_HTTP_CONTENT_TOO_LARGE, NULL);
	if (stream_append(s, req->body.data, req->body.len_bytes) < 0)
		return MHD_NO;
	plat.appends++;
	bct_fake_wake_all();
	if (bct_fake_fault_consume(&plat.lose_answers)) {
		plat.lost_answers++;
		return bct_fake_reset(req);
	}
	req->value = (int64_t)s->n - 1;
	if (plat.slow_after_ms <= 0)
		return append_reply(req);
	req->step = STEP_APPENDED;
	req->deadline_ms = bct_clock_now() + plat.slow_after_ms;
	return bct_fake_wait(req, req->deadline_ms);
}

static enum MHD_Result log_execute(bct_fake_req_t *req)
{
	const char *name = req->path + strlen("/log/");
	stream_t *s;

	if (!stream_name_ok(name))
		return bct_fake_reply(req, MHD_HTTP_BAD_REQUEST, NULL);
	s = stream_get(name);
	if (!s)
		return MHD_NO;
	if (strcmp(req->method, "POST") == 0)
		return log_append(req, s);
	return log_read(req, s);
}

/* Handles a log call: first the faults that delay or prevent its effect, then the effect. */
static enum MHD_Result log_call(bct_fake_req_t *req)
{
	/* All requests are woken together, so this wake-up may be meant for another request. */
	if (req->step == STEP_DELAYED || req->step == STEP_APPENDED) {
		if (bct_clock_now() < req->deadline_ms)
			return bct_fake_wait(req, req->deadline_ms);
	}
	if (req->step == STEP_APPENDED)
		return append_reply(req);
	if (plat.hang)
		return bct_fake_wait(req, BCT_TIME_NEVER);
	if (plat.refuse)
		return bct_fake_reply(req, MHD_HTTP_SERVICE_UNAVAILABLE,
				      json_pack("{s:b}", "appended", 0));
	if (bct_fake_fault_consume(&plat.reset))
		return bct_fake_reset(req);
	if (plat.slow_ms > 0 && req->step == STEP_NEW) {
		req->step = STEP_DELAYED;
		req->deadline_ms = bct_clock_now() + plat.slow_ms;
		return bct_fake_wait(req, req->deadline_ms);
	}
	return log_execute(req);
}

static enum MHD_Result vms_set(bct_fake_req_t *req)
{
	json_t *in = json_loadb(req->body.data, req->body.len_bytes, 0, NULL);
	json_t *vms = json_is_array(in) ? in : json_object_get(in, "vms");

	if (!json_is_array(vms)) {
		json_decref(in);
		return bct_fake_reply(req, MHD_HTTP_BAD_REQUEST, NULL);
	}
	json_decref(plat.vms);
	plat.vms = json_incref(vms);
	json_decref(in);
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{sI}", "revision", (json_int_t)++plat.vms_revision));
}

static enum MHD_Result weight_get(bct_fake_req_t *req)
{
	bct_time_t now = bct_clock_now();

	if (plat.weights_per_s > 0) {
		if (now < plat.weight_free_ms)
			return bct_fake_reply_as(req, MHD_HTTP_TOO_MANY_REQUESTS, NULL, NULL, "1");
		plat.weight_free_ms = now + BCT_MS_PER_S / plat.weights_per_s;
	}
	plat.weight_fetches++;
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{sssI}", "name", req->path + strlen("/weights/"), "bytes",
					(json_int_t)WEIGHT_BYTES));
}

static enum MHD_Result stats(bct_fake_req_t *req)
{
	return bct_fake_reply(req, MHD_HTTP_OK,
			      json_pack("{sIsIsIsI}", "appends", (json_int_t)plat.appends, "reads",
					(json_int_t)plat.reads, "lost_answers",
					(json_int_t)plat.lost_answers, "weight_fetches",
					(json_int_t)plat.weight_fetches));
}

static enum MHD_Result handle(bct_fake_req_t *req)
{
	if (bct_fake_is(req, "GET", "/admin/stats"))
		return stats(req);
	if (bct_fake_is(req, "POST", "/admin/vms"))
		return vms_set(req);
	if (plat.outage)
		return bct_fake_reset(req);
	if (strncmp(req->path, "/log/", strlen("/log/")) == 0)
		return log_call(req);
	if (bct_fake_is(req, "GET", "/vms"))
		return bct_fake_reply(req, MHD_HTTP_OK,
				      json_pack("{sIsO}", "revision", (json_int_t)plat.vms_revision,
						"vms", plat.vms));
	if (strncmp(req->path, "/weights/", strlen("/weights/")) == 0)
		return weight_get(req);
	return bct_fake_reply(req, MHD_HTTP_NOT_FOUND, NULL);
}

/* Reprocesses waiting calls, so that new faults apply to them too: an outage resets them. */
static void faults_changed(void)
{
	bct_fake_wake_all();
}

int main(int argc, const char **argv)
{
	const struct poptOption options[] = { { "weights-per-s", 0, POPT_ARG_INT,
						&plat.weights_per_s, 0,
						"rate limit of the weight store; 0: none", "N" },
					      POPT_TABLEEND };
	const bct_fake_ops_t ops = { .handle = handle, .faults_changed = faults_changed };

	bct_list_init(&plat.streams);
	plat.vms = json_array();
	return bct_fake_main(&(bct_fake_t){ .ops = &ops, .options = options, .faults = faults },
			     argc, argv);
}
