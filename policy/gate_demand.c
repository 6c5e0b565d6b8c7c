/*
 * gate_demand.c - sums over the last seconds, by service.
 */
#include "policy/gate_demand.h"
#include "policy/autoscale_window.h"

#include <string.h>

#define PERMILLE 1000
#define WINDOW_S 5
#define REQUESTS_MIN 8 /* fewer count as that many, so that one refusal is no high share */

typedef struct service {
	bct_autoscale_window_t requests;
	bct_autoscale_window_t refused; /* requests */
	bct_autoscale_window_t sent_ms;
	bct_autoscale_window_t refused_ms;
} service_t;

void bct_gate_demand_init(bct_gate_demand_t *d)
{
	memset(d, 0, sizeof(*d));
}

void bct_gate_demand_free(bct_gate_demand_t *d)
{
	bct_map_free_values(&d->services);
}

/* Returns NULL if memory is short; nothing is counted then. */
static service_t *service_of(bct_gate_demand_t *d, uint64_t key)
{
	return bct_map_get_new(&d->services, key, sizeof(service_t));
}

void bct_gate_demand_sent(bct_gate_demand_t *d, bct_time_t now, uint64_t service_key,
			  uint32_t work_ms)
{
	service_t *s = service_of(d, service_key);

	if (!s)
		return;
	bct_autoscale_window_add(&s->requests, now, 1);
	bct_autoscale_window_add(&s->sent_ms, now, work_ms);
}

void bct_gate_demand_refused(bct_gate_demand_t *d, bct_time_t now, uint64_t service_key,
			     uint32_t work_ms, bool sent)
{
	service_t *s = service_of(d, service_key);

	if (!s)
		return;
	bct_autoscale_window_add(&s->refused, now, 1);
	if (sent)
		return;
	bct_autoscale_window_add(&s->requests, now, 1);
	bct_autoscale_window_add(&s->refused_ms, now, work_ms);
}

uint32_t bct_gate_demand_refused_permille(const bct_gate_demand_t *d, bct_time_t now,
					  uint64_t service_key)
{
	const service_t *s = bct_map_get(&d->services, service_key);
	uint64_t requests, refused;

	if (!s)
		return 0;
	requests = bct_autoscale_window_sum(&s->requests, now, WINDOW_S);
	refused = bct_autoscale_window_sum(&s->refused, now, WINDOW_S) * PERMILLE;
	refused /= requests > REQUESTS_MIN ? requests : REQUESTS_MIN;
	return refused > PERMILLE ? PERMILLE : (uint32_t)refused;
}

/* The work with what was refused: in proportion to what this node sent, or, if it sent none, what
 * all nodes refuse if they refuse as much as this one. */
static uint64_t offered_ms(const bct_gate_demand_t *d, bct_time_t now, uint64_t service_key,
			   const bct_gate_demand_input_t *in)
{
	const service_t *s = bct_map_get(&d->services, service_key);
	uint64_t sent, refused, offered;

	if (!s)
		return in->work_ms_per_s;
	sent = bct_autoscale_window_sum(&s->sent_ms, now, WINDOW_S);
	refused = bct_autoscale_window_sum(&s->refused_ms, now, WINDOW_S);
	if (!sent)
		return in->work_ms_per_s + refused * in->nodes / WINDOW_S;
	offered = sent + refused;
	if (offered > sent * BCT_GATE_DEMAND_FACTOR_MAX)
		offered = sent * BCT_GATE_DEMAND_FACTOR_MAX;
	return in->work_ms_per_s * offered / sent;
}

/* The slots that all requests would use. */
static uint64_t slots_permille(const bct_gate_demand_t *d, bct_time_t now, uint64_t service_key,
			       const bct_gate_demand_input_t *in)
{
	uint32_t served = PERMILLE - bct_gate_demand_refused_permille(d, now, service_key);

	if (!in->slots)
		return 0;
	if (served < PERMILLE / BCT_GATE_DEMAND_FACTOR_MAX)
		served = PERMILLE / BCT_GATE_DEMAND_FACTOR_MAX;
	return (uint64_t)in->running * PERMILLE * PERMILLE / served / in->slots;
}

uint32_t bct_gate_demand_engines(const bct_gate_demand_t *d, bct_time_t now, uint64_t service_key,
				 const bct_gate_demand_input_t *in)
{
	/* An engine does 1000 ms of work per second, so ms per second are engines / 1000. */
	uint64_t work = offered_ms(d, now, service_key, in);
	uint64_t slots = slots_permille(d, now, service_key, in);
	uint64_t demand = work > slots ? work : slots;

	return demand > UINT32_MAX ? UINT32_MAX : (uint32_t)demand;
}
