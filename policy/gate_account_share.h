/*
 * gate_account_share.h - tells which client accounts bring much more than they usually do, while
 * the others don't. In a shortage these wait less, so that the others keep what they had. Pure: no
 * I/O and no clock. Design: docs/design/account-shares.md.
 *
 * Every node learns from the requests that it receives itself: what each account usually brings,
 * and what it has brought in the last seconds. An account may bring a multiple of its usual work,
 * times the growth of all the others, so a wave of all accounts is no reason to hold any of them
 * back.
 */
#ifndef BCT_POLICY_GATE_ACCOUNT_SHARE_H
#define BCT_POLICY_GATE_ACCOUNT_SHARE_H

#include "base/clock.h"
#include "base/map.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_GATE_ACCOUNT_SHARES_MAX 8192 /* accounts that are tracked, counted by service */

typedef struct bct_gate_account_shares {
	bct_map_t services; /* service key: service_t of gate_account_share.c */
	bct_map_t accounts; /* hash of service and account: account_t */
} bct_gate_account_shares_t;

void bct_gate_account_shares_init(bct_gate_account_shares_t *s);
void bct_gate_account_shares_free(bct_gate_account_shares_t *s);

/*
 * bct_gate_account_shares_count(3): counts a request, also one that will be refused.
 *
 * account_key  hash of the account's name; 0: none, always within
 * work_ms      upstream time that it takes to the first byte
 * returns      whether the account is within its share; true if memory is short
 */
bool bct_gate_account_shares_count(bct_gate_account_shares_t *s, bct_time_t now,
				   uint64_t service_key, uint64_t account_key, uint32_t work_ms);

#endif
