/*
 * chuteload_scenario.c - reads scenarios: JSON with comments; unknown keys are refused.
 */
#include "cmd/chuteload.h"

#include "base/err.h"
#include "base/mem.h"

#include <stdio.h>
#include <string.h>

#define SCENARIO_MAX_BYTES (1u << 20)
#define PATH_BYTES 96
#define DURATION_MAX_MS 3600000 /* less than LOAD_MAX_SECONDS */
#define PERMILLE_MAX 1000

typedef enum field_type {
	FIELD_U32,
	FIELD_U64,
	FIELD_BOOL,
	FIELD_NAME,
	FIELD_TOKEN,
	FIELD_RATE,
	FIELD_DIST,
	FIELD_ADDRESSES,
	FIELD_CLASSES,
} field_type_t;

/* A key of an object and the member that its value goes to. */
typedef struct field {
	const char *key;
	field_type_t type;
	size_t offset;
	uint32_t max; /* largest value; for FIELD_U32 only */
} field_t;

/* Fields of a class (C) and of a scenario (S). */
#define C(key, type, member, max)                                          \
	{                                                                  \
		(key), FIELD_##type, offsetof(load_class_t, member), (max) \
	}
#define S(key, type, member, max)                                             \
	{                                                                     \
		(key), FIELD_##type, offsetof(load_scenario_t, member), (max) \
	}

static const field_t class_fields[] = {
	C("name", NAME, name, 0),
	C("account", NAME, account, 0),
	C("token", TOKEN, token, 0),
	C("class", NAME, class_name, 0),
	C("model", NAME, model, 0),
	C("service", NAME, service, 0),
	C("tier", U32, tier, 5),
	C("rate", RATE, rates, 0),
	C("prompt_tokens", DIST, prompt_tokens, 0),
	C("output_tokens", DIST, output_tokens, 0),
	C("prefix_groups", U32, prefix_groups, 1000000),
	C("stream", BOOL, stream, 0),
	C("keyed", BOOL, keyed, 0),
	C("resends", U32, resends, 100),
	C("leave_permille", U32, leave_permille, PERMILLE_MAX),
	C("leave_ms", U32, leave_ms, DURATION_MAX_MS),
	C("slow_permille", U32, slow_permille, PERMILLE_MAX),
	C("slow_bytes_per_s", U32, slow_bytes_per_s, 1u << 30),
	C("poison_permille", U32, poison_permille, PERMILLE_MAX),
	C("ttft_ms", U32, ttft_ms, DURATION_MAX_MS),
	C("itl_ms", U32, itl_ms, DURATION_MAX_MS),
	C("deadline_ms", U32, deadline_ms, DURATION_MAX_MS),
	{ NULL, FIELD_U32, 0, 0 },
};

static const field_t scenario_fields[] = {
	S("label", NAME, label, 0),
	S("seed", U64, seed, 0),
	S("duration_ms", U32, duration_ms, DURATION_MAX_MS),
	S("drain_ms", U32, drain_ms, DURATION_MAX_MS),
	S("node_dies", BOOL, node_dies, 0),
	S("direct", BOOL, direct, 0),
	S("entries", ADDRESSES, entries, 0),
	S("nodes", ADDRESSES, nodes, 0),
	S("engines", ADDRESSES, engines, 0),
	S("services", ADDRESSES, services, 0),
	S("classes", CLASSES, classes, 0),
	{ NULL, FIELD_U32, 0, 0 },
};

static int read_fields(const field_t *fields, void *out, const json_t *in, const char *path,
		       bct_json_err_t *err);

int load_address_add(load_addresses_t *a, const char *address)
{
	const char *colon = strrchr(address, ':');

	if (!colon || colon == address || strlen(address) >= LOAD_ADDRESS_BYTES ||
	    strtol(colon + 1, NULL, 10) <= 0)
		return -BCT_EINVAL;
	if (a->n == LOAD_MAX_ADDRESSES)
		return -BCT_EFULL;
	snprintf(a->at[a->n++], LOAD_ADDRESS_BYTES, "%s", address);
	return 0;
}

static int read_u32(uint32_t *out, uint32_t max, const json_t *v, const char *path,
		    bct_json_err_t *err)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v))
		return bct_json_fail(err, BCT_ETYPE, path, "must be an integer");
	if (n < 0 || n > (json_int_t)max)
		return bct_json_fail(err, BCT_ERANGE, path, "must be from 0 to %u", max);
	*out = (uint32_t)n;
	return 0;
}

static int read_text(char *out, size_t out_bytes, const json_t *v, const char *path,
		     bct_json_err_t *err)
{
	if (!json_is_string(v))
		return bct_json_fail(err, BCT_ETYPE, path, "must be a string");
	if (json_string_length(v) >= out_bytes)
		return bct_json_fail(err, BCT_ERANGE, path, "must be shorter than %zu bytes",
				     out_bytes);
	snprintf(out, out_bytes, "%s", json_string_value(v));
	return 0;
}

/* A number is a constant rate; [[at_ms, per_s], ...] is a list of steps. */
static int read_rate(load_class_t *c, const json_t *v, const char *path, bct_json_err_t *err)
{
	c->n_rates = 0;
	if (json_is_number(v)) {
		c->rates[c->n_rates++].per_s = json_number_value(v);
		return 0;
	}
	if (!json_is_array(v) || json_array_size(v) > LOAD_MAX_RATE_STEPS)
		return bct_json_fail(err, BCT_ETYPE, path,
				     "must be a number or a list of up to %d steps",
				     LOAD_MAX_RATE_STEPS);
	for (size_t i = 0; i < json_array_size(v); i++) {
		const json_t *step = json_array_get(v, i);
		load_rate_t *r = &c->rates[c->n_rates++];

		if (json_array_size(step) != 2 || !json_is_integer(json_array_get(step, 0)) ||
		    !json_is_number(json_array_get(step, 1)))
			return bct_json_fail(err, BCT_ETYPE, path, "a step must be [at_ms, per_s]");
		r->at_ms = (uint32_t)json_integer_value(json_array_get(step, 0));
		r->per_s = json_number_value(json_array_get(step, 1));
		if (i > 0 && r->at_ms <= r[-1].at_ms)
			return bct_json_fail(err, BCT_ERANGE, path,
					     "at_ms must increase from step to step");
	}
	return 0;
}

/* An integer is a fixed length; an object has the parameters of a lognormal distribution. */
static int read_dist(load_dist_t *d, const json_t *v, const char *path, bct_json_err_t *err)
{
	const char *key;
	json_t *n;

	if (json_is_integer(v)) {
		d->median = (double)json_integer_value(v);
		d->sigma = 0;
		return 0;
	}
	if (!json_is_object(v))
		return bct_json_fail(err, BCT_ETYPE, path, "must be an integer or an object");
	for (void *it = json_object_iter((json_t *)v); it;
	     it = json_object_iter_next((json_t *)v, it)) {
		key = json_object_iter_key(it);
		n = json_object_iter_value(it);
		if (!json_is_number(n) || json_number_value(n) < 0)
			return bct_json_fail(err, BCT_ETYPE, path, "%s must be a number, 0 or more",
					     key);
		if (strcmp(key, "median") == 0)
			d->median = json_number_value(n);
		else if (strcmp(key, "sigma") == 0)
			d->sigma = json_number_value(n);
		else if (strcmp(key, "max") == 0)
			d->max = (uint32_t)json_number_value(n);
		else
			return bct_json_fail(err, BCT_EUNKNOWN_KEY, path,
					     "unknown key %s: allowed are median, sigma, max", key);
	}
	return 0;
}

static int read_addresses(load_addresses_t *a, const json_t *v, const char *path,
			  bct_json_err_t *err)
{
	if (!json_is_array(v))
		return bct_json_fail(err, BCT_ETYPE, path, "must be a list of ADDRESS:PORT");
	for (size_t i = 0; i < json_array_size(v); i++) {
		const char *s = json_string_value(json_array_get(v, i));

		if (!s || load_address_add(a, s) < 0)
			return bct_json_fail(err, BCT_ERANGE, path,
					     "must be a list of up to %d ADDRESS:PORT",
					     LOAD_MAX_ADDRESSES);
	}
	return 0;
}

/* Checks the rules that concern several keys of a class, and fills in defaults. */
static int class_check(load_class_t *c, const char *path, bct_json_err_t *err)
{
	if (!c->name[0])
		return bct_json_fail(err, BCT_EMISSING_KEY, path, "name is required");
	if (!c->model[0] == !c->service[0])
		return bct_json_fail(err, BCT_EINVAL, path,
				     "needs either model or service, not both");
	if (c->n_rates == 0)
		return bct_json_fail(err, BCT_EMISSING_KEY, path, "rate is required");
	if (c->stream && c->service[0])
		return bct_json_fail(err, BCT_EINVAL, path, "stream is not allowed with service");
	if (!c->class_name[0])
		memcpy(c->class_name, c->name, sizeof(c->class_name));
	return 0;
}

static int read_classes(load_scenario_t *sc, const json_t *v, bct_json_err_t *err)
{
	char path[PATH_BYTES];
	int rc;

	if (!json_is_array(v) || json_array_size(v) == 0 || json_array_size(v) > LOAD_MAX_CLASSES)
		return bct_json_fail(err, BCT_ETYPE, "classes", "must be a list of 1 to %d classes",
				     LOAD_MAX_CLASSES);
	for (size_t i = 0; i < json_array_size(v); i++) {
		load_class_t *c = &sc->classes[sc->n_classes++];

		snprintf(path, sizeof(path), "classes.%zu", i);
		*c = (load_class_t){ .tier = 3,
				     .prompt_tokens = { .median = 100 },
				     .output_tokens = { .median = 20 } };
		c->result = bct_alloc(sizeof(*c->result));
		if (!c->result)
			return -BCT_ENOMEM;
		c->result->reasons = json_object();
		rc = read_fields(class_fields, c, json_array_get(v, i), path, err);
		if (rc == 0)
			rc = class_check(c, path, err);
		if (rc < 0)
			return rc;
	}
	return 0;
}

/* Reads one value into its member. FIELD_RATE and FIELD_CLASSES fill several members of out. */
static int read_field(const field_t *f, void *out, const json_t *v, const char *path,
		      bct_json_err_t *err)
{
	void *to = (char *)out + f->offset;

	switch (f->type) {
	case FIELD_U32:
		return read_u32(to, f->max, v, path, err);
	case FIELD_U64:
		if (!json_is_integer(v))
			return bct_json_fail(err, BCT_ETYPE, path, "must be an integer");
		*(uint64_t *)to = (uint64_t)json_integer_value(v);
		return 0;
	case FIELD_BOOL:
		if (!json_is_boolean(v))
			return bct_json_fail(err, BCT_ETYPE, path, "must be true or false");
		*(bool *)to = json_is_true(v);
		return 0;
	case FIELD_NAME:
		return read_text(to, LOAD_NAME_BYTES, v, path, err);
	case FIELD_TOKEN:
		return read_text(to, LOAD_TOKEN_BYTES, v, path, err);
	case FIELD_RATE:
		return read_rate(out, v, path, err);
	case FIELD_DIST:
		return read_dist(to, v, path, err);
	case FIELD_ADDRESSES:
		return read_addresses(to, v, path, err);
	case FIELD_CLASSES:
		return read_classes(out, v, err);
	}
	return -BCT_EINVAL;
}

/* Reads an object. path: of the object, empty at the top; prefix of the keys in errors. */
static int read_fields(const field_t *fields, void *out, const json_t *in, const char *path,
		       bct_json_err_t *err)
{
	char sub[PATH_BYTES];
	const field_t *f;
	int rc;

	if (!json_is_object(in))
		return bct_json_fail(err, BCT_ETYPE, path, "must be an object");
	for (void *it = json_object_iter((json_t *)in); it;
	     it = json_object_iter_next((json_t *)in, it)) {
		const char *key = json_object_iter_key(it);

		snprintf(sub, sizeof(sub), "%s%s%s", path, *path ? "." : "", key);
		for (f = fields; f->key && strcmp(f->key, key) != 0; f++)
			;
		if (!f->key)
			return bct_json_fail(err, BCT_EUNKNOWN_KEY, sub, "unknown key");
		rc = read_field(f, out, json_object_iter_value(it), sub, err);
		if (rc < 0)
			return rc;
	}
	return 0;
}

int load_scenario_read(const char *path, load_scenario_t *sc, bct_json_err_t *err)
{
	json_t *doc = bct_json_load(path, SCENARIO_MAX_BYTES, err);
	int rc;

	if (!doc)
		return err->err;
	sc->seed = 1;
	sc->duration_ms = 5000;
	sc->drain_ms = 10000;
	rc = read_fields(scenario_fields, sc, doc, "", err);
	if (rc == 0 && sc->n_classes == 0)
		rc = bct_json_fail(err, BCT_EMISSING_KEY, "classes", "is required");
	json_decref(doc);
	return rc;
}

void load_scenario_free(load_scenario_t *sc)
{
	for (uint32_t i = 0; i < sc->n_classes; i++) {
		if (!sc->classes[i].result)
			continue;
		json_decref(sc->classes[i].result->reasons);
		bct_free(sc->classes[i].result);
	}
}
