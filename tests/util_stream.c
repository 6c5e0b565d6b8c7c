/*
 * util_stream.c - the event streams of scripted upstreams, see util_gate.h.
 */
#include "base/clock.h"
#include "tests/util_upstream_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define TRICKLE_MS 60	   /* between bytes of "streamtrickle" */
#define FLOOD_EVENTS 16384 /* of 1 KB each */
#define FLOOD_SNDBUF_BYTES 65536
#define CUT_MS 500 /* for "streamfloodcut" */

static void put_event(int fd, int id)
{
	char event[64], text[96];
	int n = snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", id, id);

	snprintf(text, sizeof(text), "%x\r\n%s\r\n", n, event);
	upstream_put(fd, text);
}

/* Sends three events as one chunk; the id of the last one is no number. */
static void put_spoilt(int fd, int id)
{
	char events[128], text[192];
	int n = snprintf(events, sizeof(events),
			 "id: %d\ndata: e%d\n\nid: %d\ndata: e%d\n\nid: x\ndata: e%d\n\n", id, id,
			 id + 1, id + 1, id + 2);

	snprintf(text, sizeof(text), "%x\r\n%s\r\n0\r\n\r\n", n, events);
	upstream_put(fd, text);
}

/* Sends events without pause. Returns whether the connection stays open. */
static bool flood(int fd, bool cuts)
{
	struct timeval limit = { 0, CUT_MS * 1000 };
	int size = FLOOD_SNDBUF_BYTES;
	char text[1100];

	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (cuts)
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	for (int i = 1; i <= FLOOD_EVENTS; i++) {
		int n = snprintf(text, sizeof(text), "400\r\nid: %-10d\ndata: %01001d\n\n\r\n", i,
				 i);

		if (send(fd, text, (size_t)n, MSG_NOSIGNAL) == n)
			continue;
		upstream_reset(fd);
		return false;
	}
	upstream_put(fd, "0\r\n\r\n");
	return true;
}

/* Sends the events after the request's Last-Event-Id. Returns whether the connection stays open. */
bool upstream_stream(gate_upstream_t *u, int fd, const char *action, const gate_run_t *run)
{
	char last[32], text[512];
	int from;

	upstream_get_header(run->head, "\nLast-Event-Id", last, sizeof(last));
	from = atoi(last);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n" HEAD "Request-Attempt-Id: %s\r\n" SEAL
		 "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		 run->call_id, strcmp(action, "streamleaving") ? "" : "Server-Leaving: 1\r\n");
	upstream_put(fd, text);
	if (!strncmp(action, "streamflood", 11))
		return flood(fd, !strcmp(action, "streamfloodcut"));
	if (!strcmp(action, "streamspoilt")) {
		put_spoilt(fd, from + 1);
		return true;
	}
	for (int i = from + 1; i <= 5; i++) {
		put_event(fd, i);
		if (!strcmp(action, "streamcut") && i == 2) {
			bct_clock_sleep(50);
			upstream_reset(fd);
			return false;
		}
		if (!strcmp(action, "streamdie") && i == 1) {
			upstream_die(u);
			return false;
		}
		if (!strcmp(action, "streamhalf") && i == 1) {
			upstream_put(fd, "9\r\nid: 2\ndat\r\n0\r\n\r\n");
			return false;
		}
		if (!strcmp(action, "streamquiet") && i == 2) {
			upstream_wait_closed(fd, QUIET_MS);
			return false;
		}
		if (!strcmp(action, "streamtrickle") && i == 2) {
			for (int k = 0; k < 100 && !upstream_wait_closed(fd, TRICKLE_MS); k++)
				upstream_put(fd, "1\r\nd\r\n");
			return false;
		}
		if (!strcmp(action, "streamslow") && i < 5)
			bct_clock_sleep(SLOW_EVENT_MS);
	}
	upstream_put(fd, "0\r\n\r\n");
	return true;
}

/* A stream without chunks that ends with its connection, or inside an event. */
void upstream_stream_unframed(int fd, const char *action, const gate_run_t *run)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\n" HEAD "Request-Attempt-Id: %s\r\n" SEAL
		 "Content-Type: text/event-stream\r\n\r\n",
		 run->call_id);
	upstream_put(fd, text);
	if (!strcmp(action, "streamunframedhalf")) {
		upstream_put(fd, "id: 1\ndata: e1\n\nid: 2\ndat");
		return;
	}
	if (!strcmp(action, "streamendless")) {
		upstream_send_without_end(fd, "id: 1\ndata: ", "e1 e1 e1 e1 e1 e1 e1 e1 ");
		return;
	}
	for (int i = 1; i <= 5; i++) {
		snprintf(text, sizeof(text), "id: %d\ndata: e%d\n\n", i, i);
		upstream_put(fd, text);
	}
}
