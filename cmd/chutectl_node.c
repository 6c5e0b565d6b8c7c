/*
 * chutectl_node.c - the commands that act on a node: drain, leave, return, key, order.
 */
#include "cmd/chutectl.h"

#include <stdio.h>
#include <string.h>

#define PATH_BYTES 1024
#define SEGMENT_BYTES 400 /* of one percent-encoded path segment */

/* Percent-encodes one path segment. Returns false if it is empty or does not fit. */
static bool encode_segment(const char *s, char *out, size_t out_bytes)
{
	static const char plain[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789-_.~";
	size_t n = 0;

	for (; *s; s++) {
		if (n + 4 > out_bytes)
			return false;
		if (strchr(plain, *s))
			out[n++] = *s;
		else
			n += (size_t)snprintf(out + n, 4, "%%%02X", (unsigned char)*s);
	}
	out[n] = '\0';
	return n > 0;
}

/* Builds a path below /admin/v1 from segments, percent-encoding each. Returns false as above. */
static bool make_path(char *out, const char *const *segments, int n)
{
	char encoded[SEGMENT_BYTES];
	int at = snprintf(out, PATH_BYTES, "/admin/v1");

	for (int i = 0; i < n; i++) {
		if (!encode_segment(segments[i], encoded, sizeof(encoded)))
			return false;
		at += snprintf(out + at, (size_t)(PATH_BYTES - at), "/%s", encoded);
		if (at >= PATH_BYTES)
			return false;
	}
	return true;
}

/* Prints the node's response: unchanged with --json, else as one "key: value" line per member. */
static void print_response(const ctl_t *ctl, json_t *response)
{
	const char *key;
	json_t *v;

	if (ctl->json) {
		ctl_print_json(response);
		return;
	}
	json_object_foreach(response, key, v)
	{
		printf("%s: ", key);
		if (json_is_string(v))
			printf("%s\n", json_string_value(v));
		else {
			json_dumpf(v, stdout, JSON_ENCODE_ANY | JSON_COMPACT);
			putchar('\n');
		}
	}
	json_decref(response);
}

/* Posts body, whose reference it takes over, and prints the response. */
static ctl_exit_t post(const ctl_t *ctl, const char *path, json_t *body)
{
	json_t *response = NULL;
	ctl_exit_t code = ctl_call(ctl, path, body, &response);

	json_decref(body);
	if (code == CTL_OK)
		print_response(ctl, response);
	return code;
}

ctl_exit_t ctl_drain(ctl_t *ctl)
{
	return post(ctl, "/admin/v1/drain", json_object());
}

static ctl_exit_t post_upstream(ctl_t *ctl, const char *verb)
{
	const char *const segments[] = { "upstreams", ctl->args[0], verb };
	char path[PATH_BYTES];

	if (!make_path(path, segments, 3))
		return ctl_fail(ctl, CTL_USAGE, "the upstream name is empty or too long");
	return post(ctl, path, json_object());
}

ctl_exit_t ctl_leave(ctl_t *ctl)
{
	return post_upstream(ctl, "leave");
}

ctl_exit_t ctl_return(ctl_t *ctl)
{
	return post_upstream(ctl, "return");
}

static ctl_exit_t key_show(ctl_t *ctl, const char *path)
{
	json_t *response = NULL;
	ctl_exit_t code = ctl_call(ctl, path, NULL, &response);

	if (code == CTL_OK)
		print_response(ctl, response);
	return code;
}

ctl_exit_t ctl_key(ctl_t *ctl)
{
	bool show = !strcmp(ctl->args[0], "show") && ctl->n_args == 3;
	bool resolve = !strcmp(ctl->args[0], "resolve") && ctl->n_args == 4;
	const char *segments[] = { "keys", ctl->args[1], ctl->args[2], "resolve" };
	char path[PATH_BYTES];
	bool ran;

	if (!show && !resolve)
		return ctl_fail(ctl, CTL_USAGE,
				"usage: chutectl key show ACCOUNT KEY | "
				"key resolve ACCOUNT KEY ran|not-run");
	if (!make_path(path, segments, show ? 3 : 4))
		return ctl_fail(ctl, CTL_USAGE, "the account or key is empty or too long");
	if (show)
		return key_show(ctl, path);
	ran = !strcmp(ctl->args[3], "ran");
	if (!ran && strcmp(ctl->args[3], "not-run"))
		return ctl_fail(ctl, CTL_USAGE, "the outcome must be ran or not-run");
	return post(
		ctl, path,
		json_pack("{s:s, s:b}", "outcome", ran ? "ran" : "not_run", "force", ctl->force));
}

ctl_exit_t ctl_order(ctl_t *ctl)
{
	static const char *const types[][2] = { { "load-model", "load_model" },
						{ "load-adapter", "load_adapter" },
						{ "load-version", "load_version" },
						{ "set-role", "set_role" } };
	const char *type = NULL;

	for (size_t i = 0; i < sizeof(types) / sizeof(types[0]); i++) {
		if (!strcmp(ctl->args[1], types[i][0]))
			type = types[i][1];
	}
	if (!type)
		return ctl_fail(ctl, CTL_USAGE,
				"the order type must be load-model, load-adapter, load-version or "
				"set-role");
	return post(ctl, "/admin/v1/orders",
		    json_pack("{s:s, s:s, s:s}", "upstream", ctl->args[0], "type", type, "argument",
			      ctl->n_args > 2 ? ctl->args[2] : ""));
}
