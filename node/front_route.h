/*
 * front_route.h - internal to the callers' HTTP interface: paths, authentication, and conversion of
 * a complete HTTP request to a bct_request_t.
 */
#ifndef BCT_NODE_FRONT_ROUTE_H
#define BCT_NODE_FRONT_ROUTE_H

#include "node/core.h"
#include "node/http.h"

typedef enum bct_route {
	BCT_ROUTE_NONE = 0,
	BCT_ROUTE_CHAT,
	BCT_ROUTE_COMPLETION,
	BCT_ROUTE_SERVICE,
	BCT_ROUTE_MODELS,
	BCT_ROUTE_ENTRY,
} bct_route_t;

/* bct_route_of(3): the interface that a path names; path excludes the query. */
bct_route_t bct_route_of(const char *path);

/* bct_route_allows(3): whether the interface accepts the HTTP method. */
bool bct_route_allows(bct_route_t route, const char *method);

/* bct_route_needs_token(3): whether a token is required; true for all but the address list. */
bool bct_route_needs_token(bct_route_t route);

/*
 * bct_find_account(3): the account that a token belongs to. The time taken does not depend on how
 * much of a token matches.
 *
 * returns  the account, or NULL
 */
const bct_account_conf_t *bct_find_account(const bct_conf_t *conf, const char *token);

typedef struct bct_route_input {
	bct_core_t *core;
	bct_conf_t *conf;
	const bct_account_conf_t *account;
	struct MHD_Connection *conn;
	bct_route_t route;
	const char *method;
	const char *path;
	const char *query; /* includes its '?'; "" if there is none */
	const bct_buf_t *body;
} bct_route_input_t;

/*
 * bct_route_request(3): validate a request and build the object to submit.
 *
 * detail   buffer of 64 bytes, set to the invalid field or to ""
 * returns  BCT_REFUSE_NONE and a new reference in out, or the reason for the refusal
 */
bct_refuse_t bct_route_request(const bct_route_input_t *in, char *detail, bct_request_t **out);

#endif
