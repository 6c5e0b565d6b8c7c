/*
 * names.c - a list of names in one string.
 */
#include "base/names.h"

#include <string.h>

bool bct_names_add(bct_names_t *l, bct_time_t now, const char *name)
{
	uint32_t len = (uint32_t)strlen(name);

	if (l->used_bytes + 1 + len + 1 > sizeof(l->text))
		return false;
	if (l->n)
		l->text[l->used_bytes++] = ',';
	else
		l->since = now;
	memcpy(l->text + l->used_bytes, name, len + 1);
	l->used_bytes += len;
	l->n++;
	return true;
}

void bct_names_clear(bct_names_t *l)
{
	l->text[0] = '\0';
	l->used_bytes = 0;
	l->n = 0;
}

bct_time_t bct_names_due_at(const bct_names_t *l)
{
	return l->n ? l->since + BCT_NAMES_COLLECT_MS : BCT_TIME_NEVER;
}
