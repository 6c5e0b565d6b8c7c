/*
 * faults.c - injects random faults from outside the node processes; faults may overlap.
 */
#include "soak/soak.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define RESTART_DELAY_MAX_MS 800 /* an ended node restarts after a random time below this */
#define STALE_MS 1000		 /* until upstreams have written their entries again */

void soak_node_start(soak_t *s, soak_node_t *n)
{
	pid_t pid = fork();

	if (pid == 0) {
		int fd = open(n->log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(s->program, s->program, "--config", n->settings_path, (char *)NULL);
		_exit(127);
	}
	n->pid = pid;
	n->stopping = n->paused = false;
}

void soak_nodes_supervise(soak_t *s)
{
	bct_time_t now = bct_clock_now();

	for (int i = 0; i < s->n_nodes; i++) {
		soak_node_t *n = &s->nodes[i];

		if (n->pid && waitpid(n->pid, NULL, WNOHANG) == n->pid) {
			n->pid = 0;
			n->last_fault_at = now;
			n->restart_at = now + bct_rng_below(&s->rng, RESTART_DELAY_MAX_MS);
		}
		if (!n->pid && now >= n->restart_at)
			soak_node_start(s, n);
	}
}

/* Sends a signal to a random node: 0 SIGKILL, 1 SIGTERM, 2 SIGHUP, 3 SIGSTOP or SIGCONT in turn. */
static void inject_signal(soak_t *s, uint32_t what)
{
	soak_node_t *n = &s->nodes[bct_rng_below(&s->rng, s->n_nodes)];

	if (!n->pid)
		return;
	n->last_fault_at = bct_clock_now();
	if (what == 0) {
		kill(n->pid, SIGKILL);
	} else if (what == 1) {
		kill(n->pid, SIGTERM);
	} else if (what == 2) {
		kill(n->pid, SIGHUP);
	} else {
		kill(n->pid, n->paused ? SIGCONT : SIGSTOP);
		n->paused = !n->paused;
	}
}

static void kill_all_nodes(soak_t *s)
{
	for (int i = 0; i < s->n_nodes; i++) {
		if (s->nodes[i].pid)
			kill(s->nodes[i].pid, SIGKILL);
		s->nodes[i].last_fault_at = bct_clock_now();
	}
}

void soak_write_entry(soak_upstream_t *u)
{
	u->offset = u->soak->offset++;
	u->sequence++;
}

/* Ends what the upstream states about itself in its answers. */
static void clear_statements(soak_upstream_t *u)
{
	u->limit_rps = 0;
	u->states_leaving = false;
	u->stated_since = 0;
}

/* Changes what a random upstream states about itself in its answers. */
static void inject_statement(soak_t *s)
{
	soak_upstream_t *u = &s->upstreams[bct_rng_below(&s->rng, SOAK_UPSTREAMS)];
	uint32_t what = bct_rng_below(&s->rng, 3);

	if (what == 0)
		u->limit_rps = 1 + bct_rng_below(&s->rng, 4);
	else if (what == 1)
		u->limit_rps = 0;
	else
		u->states_leaving = true;
	u->limit_since = 0;
}

/*
 * The store comes back from a copy: offsets are given out again, and for a second entries of
 * draining upstreams are those from before.
 */
static void return_from_copy(soak_t *s)
{
	s->era++;
	s->offset = 1;
	if (s->with_duties) {
		pthread_mutex_lock(&s->duties.lock);
		s->duties.era = s->era;
		bct_keyed_log_restore(s->duties.log);
		pthread_mutex_unlock(&s->duties.lock);
	}
	for (int i = 0; i < SOAK_UPSTREAMS; i++) {
		s->upstreams[i].offset = s->offset++;
		if (s->upstreams[i].draining)
			s->upstreams[i].stale_until = bct_clock_now() + STALE_MS;
	}
}

/* Changes the registry entry, process or link of a random upstream. */
static void inject_upstream_fault(soak_t *s)
{
	soak_upstream_t *u = &s->upstreams[bct_rng_below(&s->rng, SOAK_UPSTREAMS)];
	bct_time_t now = bct_clock_now();

	soak_write_entry(u);
	switch (bct_rng_below(&s->rng, 5)) {
	case 0:
		u->draining = true;
		u->leaving_since = now;
		break;
	case 1:
		u->deregistered = true;
		u->leaving_since = now;
		break;
	case 2:
		/* Restart under the same id, without the state of the earlier process. */
		u->draining = u->deregistered = u->crashed = false;
		u->leaving_since = 0;
		clear_statements(u);
		u->born++;
		u->sequence = 1;
		break;
	case 3:
		u->crashed = !u->crashed;
		break;
	default:
		u->proxy.link = bct_rng_below(&s->rng, SOAK_LINK_KINDS);
	}
}

void soak_change_route(soak_t *s)
{
	s->version += 1 + bct_rng_below(&s->rng, 3);
	s->safe_route_swapped = !s->safe_route_swapped;
	s->route_changed_at = bct_clock_now();
	s->offset++;
}

void soak_inject_fault(soak_t *s)
{
	uint32_t what = bct_rng_below(&s->rng, s->with_duties ? 28 : 23);

	s->last_fault_at = bct_clock_now();
	if (what < 8)
		inject_signal(s, what % 4);
	else if (what == 8)
		kill_all_nodes(s);
	else if (what < 14)
		inject_upstream_fault(s);
	else if (what < 17)
		soak_change_route(s);
	else if (what < 19)
		inject_statement(s);
	else if (what == 19)
		return_from_copy(s);
	else if (what >= 23)
		soak_duties_fault(s);
	else
		s->nodes[bct_rng_below(&s->rng, s->n_nodes)].store.link =
			bct_rng_below(&s->rng, SOAK_LINK_KINDS);
}

static void clear_upstream_faults(soak_upstream_t *u)
{
	u->proxy.link = SOAK_LINK_OK;
	u->draining = u->deregistered = u->crashed = false;
	u->restart_at = 0;
	u->leaving_since = 0;
	clear_statements(u);
	u->stale_until = 0;
	u->born++;
	u->sequence = 0;
	soak_write_entry(u);
}

/*
 * Also changes the safe route, drains an upstream, and lets one name a limit and one state that it
 * is leaving, and has callers send requests with a part that crashes upstreams: with no more
 * faults, the bounds of all five can be checked.
 */
void soak_clear_faults(soak_t *s)
{
	s->faults_ended = true;
	s->bad_part = s->parts;
	s->last_fault_at = bct_clock_now();
	for (int i = 0; i < s->n_nodes; i++) {
		soak_node_t *n = &s->nodes[i];

		n->store.link = SOAK_LINK_OK;
		if (n->pid && n->paused)
			kill(n->pid, SIGCONT);
		n->paused = false;
	}
	soak_duties_clear(s);
	for (int i = 0; i < SOAK_UPSTREAMS; i++)
		clear_upstream_faults(&s->upstreams[i]);
	soak_change_route(s);
	s->upstreams[0].draining = true;
	s->upstreams[0].leaving_since = s->last_fault_at;
	soak_write_entry(&s->upstreams[0]);
	s->upstreams[1].limit_rps = SOAK_LIMIT_RPS;
	s->upstreams[1].limit_since = 0;
	s->upstreams[SOAK_UPSTREAMS - 1].states_leaving = true;
}
