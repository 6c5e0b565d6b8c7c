/*
 * control_call.c - a call is refused if a header or field is missing or of another type.
 */
#include "standin/control_call.h"

#include <stdlib.h>
#include <string.h>

#define FENCE_MAX (UINT64_C(1) << 53)
#define BAD_REQUEST 400
#define NOT_FOUND 404

static bool read_count(const json_t *o, const char *key, json_int_t max, json_int_t *out)
{
	const json_t *v = json_object_get(o, key);

	*out = json_integer_value(v);
	return json_is_integer(v) && *out >= 0 && *out <= max;
}

static bool decode_usage(bct_control_call_t *c)
{
	json_t *counts = json_object_get(c->doc, "counts"), *v;
	json_int_t window;
	const char *key;

	if (!read_count(c->doc, "window_number", INT64_MAX, &window) || !json_is_object(counts))
		return false;
	json_object_foreach(counts, key, v)
	{
		if (!json_is_integer(v) || json_integer_value(v) < 0)
			return false;
	}
	c->window = (uint64_t)window;
	snprintf(c->subject, sizeof(c->subject), "usage");
	return true;
}

static bool decode_scale(bct_control_call_t *c)
{
	const char *service = json_string_value(json_object_get(c->doc, "service"));
	const char *zone = json_string_value(json_object_get(c->doc, "zone"));
	const json_t *spot = json_object_get(c->doc, "spot");
	bct_control_order_t *o = &c->order;
	json_int_t engines;

	if (!service || !zone || strlen(service) >= sizeof(o->service) ||
	    strlen(zone) >= sizeof(o->zone) ||
	    !read_count(c->doc, "desired_count", UINT32_MAX, &engines) ||
	    (spot && !json_is_boolean(spot)))
		return false;
	c->is_order = true;
	snprintf(o->service, sizeof(o->service), "%s", service);
	snprintf(o->zone, sizeof(o->zone), "%s", zone);
	o->spot = json_is_true(spot);
	o->engines = (uint32_t)engines;
	snprintf(c->subject, sizeof(c->subject), "scale %s %s", service, zone);
	return true;
}

int bct_control_call_decode(const bct_control_api_call_t *c, bct_control_call_t *out)
{
	bool usage = !strcmp(c->path, "/usage");
	char *end = NULL;

	memset(out, 0, sizeof(*out));
	if (!usage && strcmp(c->path, "/scale") != 0)
		return NOT_FOUND;
	if (!c->holder || !c->holder[0] || strlen(c->holder) >= BCT_CONTROL_NAME_BYTES || !c->fence)
		return BAD_REQUEST;
	out->fence = strtoull(c->fence, &end, 10);
	if (c->fence[0] < '0' || c->fence[0] > '9' || *end || out->fence >= FENCE_MAX)
		return BAD_REQUEST;
	out->doc = json_loadb(c->body ? c->body : "", c->body_bytes, 0, NULL);
	if (usage ? decode_usage(out) : decode_scale(out))
		return 0;
	bct_control_call_free(out);
	return BAD_REQUEST;
}

void bct_control_call_free(bct_control_call_t *c)
{
	json_decref(c->doc);
	c->doc = NULL;
}
