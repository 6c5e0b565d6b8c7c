/*
 * duties.h - the platform as far as a fleet's duties use it: the control API, and the keyed topic
 * of the store that holds their record. HTTP servers over standin/control_api.h and
 * standin/keyed_log.h, with faults.
 */
#ifndef BCT_SOAK_DUTIES_H
#define BCT_SOAK_DUTIES_H

#include "base/rng.h"
#include "standin/control_api.h"
#include "standin/keyed_log.h"

#include <pthread.h>

struct event_base;
struct evhttp;
struct evhttp_request;

#define SOAK_DUTIES_TOPIC "keyed.duties"

typedef struct soak_duties {
	pthread_mutex_t lock; /* guards the members below */
	bct_control_api_t *api;
	bct_keyed_log_t *log;
	uint64_t era;		    /* of the store, from 1 */
	uint32_t withhold_ms;	    /* a connection whose response is withheld is closed then */
	bool api_down;		    /* connections are closed, nothing is executed */
	uint32_t api_lose;	    /* the next N calls get no response and take effect late */
	uint32_t api_lose_permille; /* the same at random */
	uint32_t api_slow_ms;	    /* before a call is executed */
	bool store_refuses;	    /* 503 */
	bool store_no_topic;	    /* 404 to a listing, as before the first record */
	uint32_t store_lose;	    /* the next N appends take effect, without a response */
	uint32_t store_late;	    /* the next N appends take effect late, without a response */
	uint32_t store_late_ms;
	bct_rng_t rng;
} soak_duties_t;

/* soak_duties_init(3): with the rules of the API; no server yet. */
void soak_duties_init(soak_duties_t *d, const bct_control_api_opts_t *opts);
void soak_duties_free(soak_duties_t *d);

/*
 * soak_duties_serve_api(3), soak_duties_serve_append(3), soak_duties_serve_store(3): add endpoints
 * to a server: of the API; to append to the topic; and to append to it and list it.
 */
void soak_duties_serve_api(soak_duties_t *d, struct evhttp *http);
void soak_duties_serve_append(soak_duties_t *d, struct evhttp *http);
void soak_duties_serve_store(soak_duties_t *d, struct evhttp *http);

/* soak_duties_newest(3): answer a listing of the topic, if the request is one; else false. */
bool soak_duties_newest(soak_duties_t *d, struct evhttp_request *req);

#endif
