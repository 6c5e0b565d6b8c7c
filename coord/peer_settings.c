/*
 * peer_settings.c - conversion of settings to peer options.
 */
#include "coord/peer_settings.h"

#include <string.h>

void bct_peer_opts_fill(const bct_settings_t *s, bct_peer_opts_t *o)
{
	o->bind_address = s->peer_address;
	o->port = (uint16_t)s->peer_port;
	o->secret = s->peer_secret;
	o->secret_bytes = strlen(s->peer_secret);
	o->name = s->vm_name;
	o->failure_domain = s->vm_failure_domain;
	o->region = s->vm_region;
	o->caller_address = s->caller_address;
	o->n_seeds = s->n_peer_seeds;
}
