/*
 * usage_pack.c - packs counters of usage into messages.
 */
#include "gate/usage_pack.h"

#include <string.h>

#define XDR_UNIT_BYTES 4
#define GROUP_BYTES (2 * 8 + XDR_UNIT_BYTES)

void bct_usage_pack_init(bct_usage_pack_t *p, bct_time_t true_time)
{
	p->message = (share_usage){ .true_time_ms = true_time };
	p->message.groups.groups_val = p->groups;
	p->n_counts = 0;
	p->bytes = 0;
}

/* The length and the padded characters of a name, and the number. */
static uint32_t count_bytes(const char *account)
{
	uint32_t units = ((uint32_t)strlen(account) + XDR_UNIT_BYTES - 1) / XDR_UNIT_BYTES;

	return (units + 2) * XDR_UNIT_BYTES;
}

static bool belongs_to(const share_usage_group *g, const bct_usage_item_t *item)
{
	return g->incarnation == item->incarnation && g->window == item->window;
}

bool bct_usage_pack_add(bct_usage_pack_t *p, const bct_usage_item_t *item)
{
	uint32_t n = p->message.groups.groups_len, bytes = count_bytes(item->account);
	bool opens = !n || !belongs_to(&p->groups[n - 1], item);
	share_usage_group *g;

	if (opens)
		bytes += GROUP_BYTES;
	if (p->n_counts == SHARE_USAGE_COUNTS_MAX || p->bytes + bytes > BCT_USAGE_PACK_BYTES ||
	    (opens && n == SHARE_USAGE_GROUPS_MAX))
		return false;
	if (opens) {
		p->message.groups.groups_len++;
		g = &p->groups[n];
		*g = (share_usage_group){ .incarnation = item->incarnation,
					  .window = item->window };
		g->counts.counts_val = &p->counts[p->n_counts];
	} else {
		g = &p->groups[n - 1];
	}
	/* XDR's types have no constant strings; nothing writes to it. */
	p->counts[p->n_counts++] =
		(share_usage_count){ .account = (char *)item->account, .requests = item->requests };
	g->counts.counts_len++;
	p->bytes += bytes;
	return true;
}

uint32_t bct_usage_pack_merge(bct_usage_t *u, const share_usage *message)
{
	uint32_t news = 0;

	for (u_int i = 0; i < message->groups.groups_len; i++) {
		const share_usage_group *g = &message->groups.groups_val[i];

		for (u_int j = 0; j < g->counts.counts_len; j++) {
			const share_usage_count *c = &g->counts.counts_val[j];

			news += bct_usage_merge(u, g->incarnation, g->window, c->account,
						c->requests);
		}
	}
	return news;
}
