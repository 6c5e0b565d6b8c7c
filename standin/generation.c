#include "standin/generation.h"

#include "base/mem.h"

#include <string.h>

#define TIER_DEFAULT 3

/* Appends the prompt: "prompt", or the contents of all messages. returns false if there is none. */
static bool prompt_text(const json_t *body, bct_buf_t *out)
{
	const json_t *messages = json_object_get(body, "messages");
	const char *prompt = json_string_value(json_object_get(body, "prompt"));

	if (prompt)
		return bct_buf_puts(out, prompt) == 0;
	if (!json_is_array(messages))
		return false;
	for (size_t i = 0; i < json_array_size(messages); i++) {
		const json_t *m = json_array_get(messages, i);
		const char *content = json_string_value(json_object_get(m, "content"));

		if (content)
			bct_buf_puts(out, content);
	}
	return out->err == 0 && out->data;
}

/*
 * Takes the answer's length from the prompt, limited by max_tokens. Only the load tool and this
 * engine know the marker.
 */
static void answer_length(bct_gen_t *g, const json_t *body, const char *prompt)
{
	const char *mark = strstr(prompt, BCT_ANSWER_LEN_MARKER);
	json_int_t max = json_integer_value(json_object_get(body, "max_tokens"));
	uint32_t len = BCT_ANSWER_DEFAULT_TOKENS;

	if (mark)
		len = (uint32_t)strtoul(mark + strlen(BCT_ANSWER_LEN_MARKER), NULL, 10);
	g->finish = "stop";
	if (max > 0 && max < (json_int_t)len) {
		len = (uint32_t)max;
		g->finish = "length";
	}
	g->job.len = len;
}

/* Fills in the job from the Chute- headers; answer_length() must have run. */
static void job_from_headers(bct_gen_t *g)
{
	const char *prio = bct_fake_header(g->req, "Chute-Priority");
	const char *from = bct_fake_header(g->req, "Chute-Resume-From");
	const char *prefix = bct_fake_header(g->req, "Chute-Prefix");
	const char *attempt = bct_fake_header(g->req, "Chute-Attempt");
	long tier = prio ? strtol(prio, NULL, 10) : TIER_DEFAULT;
	bct_job_t *j = &g->job;
	char *end;

	j->tier = tier >= 1 && tier <= BCT_BATCH_TIERS ? (uint8_t)tier : TIER_DEFAULT;
	j->resume_from = from ? (uint32_t)strtoul(from, NULL, 10) : 0;
	if (j->resume_from > j->len)
		j->resume_from = j->len;
	j->index = j->resume_from;
	j->kv_imported = bct_fake_header(g->req, "Chute-Kv-From") != NULL;
	snprintf(g->attempt, sizeof(g->attempt), "%s", attempt ? attempt : "");
	while (prefix && *prefix && j->n_blocks < BCT_JOB_BLOCKS) {
		uint64_t block = strtoull(prefix, &end, 16);

		if (end == prefix)
			break;
		j->blocks[j->n_blocks++] = block;
		prefix = *end == ',' ? end + 1 : end;
	}
}

bct_gen_t *bct_gen_new(bct_fake_req_t *req)
{
	json_t *body = json_loadb(req->body.data, req->body.len_bytes, 0, NULL);
	bct_gen_t *g = bct_alloc(sizeof(*g));
	bct_buf_t prompt;

	bct_buf_init(&prompt, 0);
	if (!g || !prompt_text(body, &prompt)) {
		bct_free(g);
		g = NULL;
		goto out;
	}
	g->req = req;
	g->job.user = g;
	bct_list_init(&g->job.link);
	g->chat = strcmp(req->path, "/v1/chat/completions") == 0;
	g->stream = json_is_true(json_object_get(body, "stream"));
	g->job.prompt_key = bct_hash(prompt.data, prompt.len_bytes);
	g->answer_key = g->job.prompt_key;
	g->job.prompt_tokens = (uint32_t)(prompt.len_bytes / BCT_PROMPT_BYTES_PER_TOKEN) + 1;
	g->job.poison = strstr(prompt.data, BCT_ANSWER_POISON_MARKER) != NULL;
	answer_length(g, body, prompt.data);
	job_from_headers(g);
out:
	bct_buf_free(&prompt);
	json_decref(body);
	return g;
}

void bct_gen_event(const bct_gen_t *g, const char *text, bool last)
{
	char line[512], usage[128] = "", finish[16] = "null";

	if (last) {
		snprintf(finish, sizeof(finish), "\"%s\"", g->finish);
		snprintf(usage, sizeof(usage),
			 ",\"usage\":{\"prompt_tokens\":%" PRIu32 ",\"completion_tokens\":%" PRIu32
			 "}",
			 g->job.prompt_tokens, g->job.len);
	}
	snprintf(line, sizeof(line),
		 g->chat ? "data: "
			   "{\"id\":\"cmpl-%s\",\"object\":\"chat.completion.chunk\",\"choices\":"
			   "[{\"index\":0,\"delta\":{\"content\":\"%s\"},\"finish_reason\":%s}]%s}"
			   "\n\n"
			 : "data: {\"id\":\"cmpl-%s\",\"object\":\"text_completion\",\"choices\":"
			   "[{\"index\":0,\"text\":\"%s\",\"finish_reason\":%s}]%s}\n\n",
		 g->attempt, text, finish, usage);
	bct_fake_stream_put(g->req, line);
}

static json_t *choice_json(const bct_gen_t *g, const char *text)
{
	if (!g->chat)
		return json_pack("{sissss}", "index", 0, "text", text, "finish_reason", g->finish);
	return json_pack("{sis{ssss}ss}", "index", 0, "message", "role", "assistant", "content",
			 text, "finish_reason", g->finish);
}

json_t *bct_gen_answer(const bct_gen_t *g)
{
	char token[BCT_ANSWER_TOKEN_BYTES], id[32];
	json_t *body;
	bct_buf_t all;

	bct_buf_init(&all, 0);
	for (uint32_t i = g->job.resume_from; i < g->job.len; i++) {
		bct_answer_token(g->answer_key, i, token);
		bct_buf_puts(&all, token);
	}
	snprintf(id, sizeof(id), "cmpl-%s", g->attempt);
	body = json_pack("{sss[o]s{sIsI}}", "id", id, "choices",
			 choice_json(g, all.data ? all.data : ""), "usage", "prompt_tokens",
			 (json_int_t)g->job.prompt_tokens, "completion_tokens",
			 (json_int_t)g->job.len);
	bct_buf_free(&all);
	return body;
}
