/*
 * chuteload_call.c - builds requests, parses their answers and classifies the outcomes.
 */
#include "cmd/chuteload_call.h"

#include "base/err.h"
#include "base/mem.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ANSWER_BYTES (16u << 20)
#define PERMILLE 1000
/* A failed connect is resent after up to this many attempts, whatever the class's limit. */
#define MAX_CONNECT_RESENDS 10
#define FILLER "the tenant reports that the boiler failed again and the hall is cold "

/* True with the given probability. Draws no number when it is 0. */
static bool chance(bct_rng_t *rng, uint32_t permille)
{
	return permille > 0 && bct_rng_below(rng, PERMILLE) < permille;
}

/* An id unique in all runs, so that a key never collides with one of an earlier run. */
static void request_id(const load_call_t *call, char out[LOAD_ID_BYTES])
{
	snprintf(out, LOAD_ID_BYTES, "%08" PRIx32 "-%u-%" PRIu64, call->run->run_id,
		 (uint32_t)(call->cls - call->run->sc->classes), call->cls->result->sent);
}

/* Pads the buffer to a total length. */
static void put_filler(bct_buf_t *b, size_t target_bytes)
{
	while (b->len_bytes < target_bytes && b->err == 0) {
		size_t n = target_bytes - b->len_bytes;

		bct_buf_put(b, FILLER, n < strlen(FILLER) ? n : strlen(FILLER));
	}
}

/*
 * The shared prefix of a group, a segment unique to the request, then filler. The marker makes
 * fake-engine answer with len tokens.
 */
static void prompt_build(load_call_t *call, bct_buf_t *prompt, uint32_t len)
{
	load_class_t *c = call->cls;
	bct_rng_t *rng = &c->rng;
	char id[LOAD_ID_BYTES];
	size_t bytes = (size_t)load_sample(&c->prompt_tokens, rng) * BCT_PROMPT_BYTES_PER_TOKEN;

	if (c->prefix_groups > 0) {
		bct_buf_printf(prompt, "%s group %" PRIu32 " ", c->name,
			       bct_rng_below(rng, c->prefix_groups));
		put_filler(prompt, bytes / 2);
	}
	request_id(call, id);
	bct_buf_printf(prompt, " request %s %s%" PRIu32 "]] ", id, BCT_ANSWER_LEN_MARKER, len);
	if (call->poison)
		bct_buf_puts(prompt, BCT_ANSWER_POISON_MARKER);
	put_filler(prompt, bytes);
}

/* The body of a generation: a chat with one message. */
static int generation_build(load_call_t *call)
{
	const load_class_t *c = call->cls;
	uint32_t len = load_sample(&c->output_tokens, &call->cls->rng);
	load_outcome_t *outcome = &call->run->outcomes[call->outcome_index];
	bct_buf_t prompt;
	int rc;

	bct_buf_init(&prompt, 0);
	prompt_build(call, &prompt, len);
	outcome->prompt_key = bct_hash(prompt.data, prompt.len_bytes);
	load_check_init(&call->check, outcome->prompt_key, len);
	rc = bct_buf_printf(&call->body,
			    "{\"model\":\"%s\",\"stream\":%s,\"messages\":[{\"role\":\"user\","
			    "\"content\":\"%s\"}]}",
			    c->model, c->stream ? "true" : "false", prompt.data);
	bct_buf_free(&prompt);
	return rc;
}

/* The body of a service call; the key in it is what fake-service counts runs by. */
static int service_build(load_call_t *call)
{
	load_outcome_t *outcome = &call->run->outcomes[call->outcome_index];

	request_id(call, outcome->key);
	return bct_buf_printf(&call->body, "{\"call\":\"[[key=%s]]\"}", outcome->key);
}

/* Appends the outcome of a new request. returns 0 or -BCT_ENOMEM. */
static int outcome_add(load_run_t *run, load_class_t *cls, uint64_t *index)
{
	if (run->n_outcomes == run->cap_outcomes) {
		uint64_t cap = run->cap_outcomes ? run->cap_outcomes * 2 : 1024;
		load_outcome_t *outcome = bct_realloc(run->outcomes, cap * sizeof(*outcome));

		if (!outcome)
			return -BCT_ENOMEM;
		run->outcomes = outcome;
		run->cap_outcomes = cap;
	}
	*index = run->n_outcomes++;
	run->outcomes[*index] = (load_outcome_t){ .cls = cls };
	return 0;
}

load_call_t *load_call_new(load_run_t *run, load_class_t *cls, uint64_t arrival_us)
{
	load_call_t *call = bct_alloc(sizeof(*call));
	int rc;

	if (!call)
		return NULL;
	bct_list_init(&call->link);
	bct_buf_init(&call->body, 0);
	bct_buf_init(&call->in, MAX_ANSWER_BYTES);
	call->run = run;
	call->cls = cls;
	call->arrival_us = arrival_us;
	call->slow = chance(&cls->rng, cls->slow_permille);
	call->poison = chance(&cls->rng, cls->poison_permille);
	if (chance(&cls->rng, cls->leave_permille))
		call->disconnect_us =
			arrival_us + 1 +
			(uint64_t)bct_rng_below(&cls->rng, cls->leave_ms) * LOAD_US_PER_MS;
	rc = outcome_add(run, cls, &call->outcome_index);
	if (rc == 0)
		rc = cls->model[0] ? generation_build(call) : service_build(call);
	if (rc < 0) {
		load_call_free(call);
		return NULL;
	}
	cls->result->sent++;
	return call;
}

static void transfer_free(load_call_t *call)
{
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	call->easy = NULL;
	call->headers = NULL;
}

void load_call_free(load_call_t *call)
{
	if (!call)
		return;
	bct_list_del(&call->link);
	transfer_free(call);
	bct_buf_free(&call->body);
	bct_buf_free(&call->in);
	bct_free(call);
}

static void add_header(load_call_t *call, const char *name, const char *value)
{
	char line[LOAD_TOKEN_BYTES + 64];
	struct curl_slist *more;

	snprintf(line, sizeof(line), "%s: %s", name, value);
	more = curl_slist_append(call->headers, line);
	if (more)
		call->headers = more;
}

/* The caller's headers or, in direct mode, those that a node sends to an engine. */
static void headers_build(load_call_t *call)
{
	const load_class_t *c = call->cls;
	const load_outcome_t *outcome = &call->run->outcomes[call->outcome_index];
	char text[LOAD_TOKEN_BYTES + 16];

	add_header(call, "Content-Type", "application/json");
	add_header(call, "Expect", "");
	if (call->run->sc->direct) {
		snprintf(text, sizeof(text), "%u", c->tier);
		add_header(call, "Chute-Priority", text);
		snprintf(text, sizeof(text), "%016" PRIx64, bct_random_id());
		add_header(call, "Chute-Attempt", text);
		return;
	}
	snprintf(text, sizeof(text), "Bearer %s", c->token);
	add_header(call, "Authorization", text);
	add_header(call, "Chute-Class", c->class_name);
	if (c->keyed)
		add_header(call, "Idempotency-Key", outcome->key);
}

/* Records the time of n tokens that arrived together: one gap, before the first of them. */
static void on_token(load_call_t *call, uint32_t n, uint64_t now_us)
{
	load_result_t *r = call->cls->result;

	if (n == 0)
		return;
	r->tokens += n;
	if (call->first_us == 0)
		call->first_us = now_us;
	else if (!call->slow)
		bct_hist_add(&r->gap_us, now_us - call->last_us);
	call->last_us = now_us;
}

/* Records a typed error; a document whose error lacks "run" or "reason" has none. */
static void parse_error(load_call_t *call, const json_t *doc)
{
	const json_t *e = json_object_get(doc, "error");
	const char *run_status = json_string_value(json_object_get(e, "run"));
	const char *reason = json_string_value(json_object_get(e, "reason"));

	if (!run_status || !reason)
		return;
	call->has_error = true;
	snprintf(call->run_status, sizeof(call->run_status), "%s", run_status);
	snprintf(call->reason, sizeof(call->reason), "%s", reason);
}

/* Text of the first choice of a chat event, a chat answer or a completion; NULL without one. */
static const char *choice_text(const json_t *doc)
{
	const json_t *c = json_array_get(json_object_get(doc, "choices"), 0);
	const json_t *text = json_object_get(json_object_get(c, "delta"), "content");

	if (!text)
		text = json_object_get(json_object_get(c, "message"), "content");
	if (!text)
		text = json_object_get(c, "text");
	return json_string_value(text);
}

/* One event of a stream: text, a typed error or the end marker. */
static void parse_event(load_call_t *call, const char *data, size_t len_bytes, uint64_t now_us)
{
	const char *text;
	json_t *doc;

	if (len_bytes == strlen("[DONE]") && memcmp(data, "[DONE]", len_bytes) == 0) {
		call->end_marker = true;
		return;
	}
	doc = json_loadb(data, len_bytes, 0, NULL);
	text = choice_text(doc);
	if (text)
		on_token(call, load_check_text(&call->check, text, strlen(text)), now_us);
	else
		parse_error(call, doc);
	json_decref(doc);
}

/* Consumes the complete lines of the input. Lines with "data:" are events; others are ignored. */
static void parse_lines(load_call_t *call, uint64_t now_us)
{
	size_t at = 0, prefix = strlen("data:");
	char *nl;

	while ((nl = memchr(call->in.data + at, '\n', call->in.len_bytes - at)) != NULL) {
		char *line = call->in.data + at;
		size_t len = (size_t)(nl - line);

		at += len + 1;
		if (len > 0 && line[len - 1] == '\r')
			len--;
		if (len < prefix || memcmp(line, "data:", prefix) != 0)
			continue;
		line += prefix;
		len -= prefix;
		if (len > 0 && *line == ' ') {
			line++;
			len--;
		}
		parse_event(call, line, len, now_us);
	}
	bct_buf_consume(&call->in, at);
}

/* libcurl's write callback. Parses a stream as it arrives; another body is kept for the end. */
static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	load_call_t *call = arg;
	long status = 0;

	if (bct_buf_put(&call->in, data, size * n) < 0)
		return 0;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->cls->stream && status == 200)
		parse_lines(call, load_now_us());
	return size * n;
}

int load_call_send(load_call_t *call, const char *address)
{
	const load_class_t *c = call->cls;
	const load_outcome_t *outcome = &call->run->outcomes[call->outcome_index];
	char url[LOAD_ADDRESS_BYTES + LOAD_NAME_BYTES + 64];

	call->easy = curl_easy_init();
	if (!call->easy)
		return -BCT_ENOMEM;
	if (c->model[0])
		snprintf(url, sizeof(url), "http://%s/v1/chat/completions", address);
	else
		snprintf(url, sizeof(url), "http://%s%s/%s", address,
			 call->run->sc->direct ? "" : "/v1/services", c->service);
	headers_build(call);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->body.data);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, (long)call->body.len_bytes);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	/*
	 * libcurl itself repeats a POST when a reused connection turns out dead. Without an
	 * Idempotency-Key a service call could run twice, so it gets a new connection.
	 */
	if (outcome->key[0] && !c->keyed)
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	if (call->slow && c->slow_bytes_per_s > 0)
		curl_easy_setopt(call->easy, CURLOPT_MAX_RECV_SPEED_LARGE,
				 (curl_off_t)c->slow_bytes_per_s);
	call->attempts++;
	return 0;
}

/*
 * Whether an answer that is complete now met its targets. Without a stream, ttft_ms plus itl_ms for
 * each token bounds the whole answer; a service call has no tokens.
 */
static bool in_target(const load_call_t *call, uint64_t now_us)
{
	const load_class_t *c = call->cls;
	uint64_t total_us = now_us - call->arrival_us;
	uint64_t tokens = call->check.len, allowed_us;

	if (c->deadline_ms && total_us > (uint64_t)c->deadline_ms * LOAD_US_PER_MS)
		return false;
	if (!c->stream) {
		allowed_us = (c->ttft_ms + tokens * c->itl_ms) * (uint64_t)LOAD_US_PER_MS;
		return allowed_us == 0 || total_us <= allowed_us;
	}
	if (c->ttft_ms && call->first_us - call->arrival_us > (uint64_t)c->ttft_ms * LOAD_US_PER_MS)
		return false;
	if (c->itl_ms == 0 || tokens < 2)
		return true;
	return (call->last_us - call->first_us) / (tokens - 1) <=
	       (uint64_t)c->itl_ms * LOAD_US_PER_MS;
}

/*
 * Counts a request for attainment, in total and in the second of its arrival. Slow callers and
 * poison requests don't count.
 */
static void count_second(load_call_t *call, bool met)
{
	load_result_t *r = call->cls->result;
	uint64_t second = (call->arrival_us - call->run->start_us) / LOAD_US_PER_S;

	if (call->slow || call->poison)
		return;
	if (met)
		r->met++;
	r->eligible++;
	if (second >= LOAD_MAX_SECONDS)
		return;
	r->seconds[second].requests++;
	r->seconds[second].met += met;
}

/* A complete and correct answer. A slow caller has no latencies. */
static void end_ok(load_call_t *call, uint64_t now_us)
{
	load_result_t *r = call->cls->result;
	bool met = in_target(call, now_us);

	call->run->outcomes[call->outcome_index].ok = true;
	r->ok++;
	count_second(call, met);
	if (call->slow)
		return;
	if (call->first_us)
		bct_hist_add(&r->ttft_us, call->first_us - call->arrival_us);
	bct_hist_add(&r->total_us, now_us - call->arrival_us);
	if (met)
		r->goodput_tokens += call->check.len;
}

static void count_reason(load_call_t *call, const char *reason)
{
	json_t *reasons = call->cls->result->reasons;
	json_int_t n = json_integer_value(json_object_get(reasons, reason));

	json_object_set_new(reasons, reason, json_integer(n + 1));
}

/* An answer whose text or key is wrong. */
static void end_fault(load_call_t *call, load_fault_t fault)
{
	load_result_t *r = call->cls->result;

	r->invalid++;
	if (fault == LOAD_FAULT_MISMATCHED)
		r->mismatched++;
	else
		r->disordered++;
	count_second(call, false);
}

/* Checks the body of a 200 that is not a stream. */
static load_fault_t check_answer(load_call_t *call)
{
	json_t *doc = json_loadb(call->in.data, call->in.len_bytes, 0, NULL);
	const load_outcome_t *outcome = &call->run->outcomes[call->outcome_index];
	load_fault_t fault;
	const char *s;

	if (outcome->key[0]) {
		s = json_string_value(json_object_get(doc, "key"));
		fault = s && strcmp(s, outcome->key) == 0 ? LOAD_FAULT_NONE : LOAD_FAULT_MISMATCHED;
	} else {
		s = choice_text(doc);
		call->cls->result->tokens += s ? load_check_text(&call->check, s, strlen(s)) : 0;
		fault = load_check_end(&call->check);
	}
	json_decref(doc);
	return fault;
}

/*
 * A typed error: refused, or in doubt. In doubt, or while its key is in progress, a keyed call is
 * resent up to its limit. returns true to resend.
 */
static bool end_typed(load_call_t *call)
{
	load_result_t *r = call->cls->result;
	load_outcome_t *outcome = &call->run->outcomes[call->outcome_index];
	bool not_run = strcmp(call->run_status, "not_run") == 0;
	bool resend = call->cls->keyed && call->attempts <= call->cls->resends;

	if (resend && (!not_run || strcmp(call->reason, "in_progress") == 0))
		return true;
	count_reason(call, call->reason);
	count_second(call, false);
	outcome->not_run = not_run;
	if (not_run)
		r->refused++;
	else
		r->unknown++;
	return false;
}

/* In doubt: the caller cannot know whether a call without a key ran on a node that was killed. */
static void end_unknown(load_call_t *call)
{
	call->cls->result->unknown++;
	count_reason(call, "connection_broken");
	count_second(call, false);
}

/*
 * No answer, or an incomplete one. Generations and keyed calls are resent up to their limit if no
 * token arrived or, when the scenario kills a node, in any case. returns true to resend.
 */
static bool end_broken(load_call_t *call, CURLcode code)
{
	load_result_t *r = call->cls->result;
	const load_class_t *c = call->cls;
	bool node_dies = call->run->sc->node_dies;
	bool unsent = code == CURLE_COULDNT_CONNECT;
	bool may_repeat = c->keyed || c->model[0];

	/* A request that was never sent can safely go to another address. */
	if (unsent && call->attempts <= MAX_CONNECT_RESENDS)
		return true;
	if ((call->first_us == 0 || node_dies) && may_repeat && call->attempts <= c->resends) {
		call->run->outcomes[call->outcome_index].earlier_may_have_run = true;
		return true;
	}
	if (node_dies && !may_repeat) {
		end_unknown(call);
		return false;
	}
	count_second(call, false);
	if (call->first_us) {
		r->invalid++;
		r->truncated++;
	} else {
		r->lost++;
	}
	return false;
}

/* Engines refuse with a status alone: makes a typed error of it. 503 and 409 mean not run. */
static void direct_error(load_call_t *call, long status)
{
	bool not_run = status == 503 || status == 409;

	call->has_error = true;
	snprintf(call->run_status, sizeof(call->run_status), "%s", not_run ? "not_run" : "unknown");
	snprintf(call->reason, sizeof(call->reason), "http_%ld", status);
}

/* Counts a finished transfer by its result. returns true to resend. */
static bool classify_answer(load_call_t *call, CURLcode code, long status, uint64_t now_us)
{
	load_fault_t fault;
	json_t *doc;

	if (status != 200 && code == CURLE_OK) {
		doc = json_loadb(call->in.data, call->in.len_bytes, 0, NULL);
		parse_error(call, doc);
		json_decref(doc);
		if (!call->has_error && call->run->sc->direct)
			direct_error(call, status);
	}
	if (call->has_error)
		return end_typed(call);
	if (code != CURLE_OK || status != 200 || (call->cls->stream && !call->end_marker))
		return end_broken(call, code);
	fault = call->cls->stream ? load_check_end(&call->check) : check_answer(call);
	if (fault != LOAD_FAULT_NONE)
		end_fault(call, fault);
	else
		end_ok(call, now_us);
	return false;
}

bool load_call_end(load_call_t *call, CURLcode code, uint64_t now_us)
{
	long status = 0;
	bool resend;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	resend = classify_answer(call, code, status, now_us);
	if (!resend)
		return false;
	transfer_free(call);
	bct_buf_clear(&call->in);
	call->has_error = false;
	call->end_marker = false;
	call->first_us = 0;
	load_check_init(&call->check, call->check.prompt_key, call->check.len);
	call->resend_us = now_us + (uint64_t)call->attempts * LOAD_RESEND_MS * LOAD_US_PER_MS;
	call->cls->result->resent++;
	return true;
}

void load_call_disconnect(load_call_t *call)
{
	call->cls->result->disconnected++;
}

void load_call_no_answer(load_call_t *call)
{
	call->cls->result->lost++;
	count_reason(call, "no_answer");
	count_second(call, false);
}
