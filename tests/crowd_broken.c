/*
 * crowd_broken.c - an upstream with a thread for each connection, see crowd_broken.h.
 */
#define _GNU_SOURCE
#include "tests/crowd_broken.h"

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_BYTES 4096
#define HEAD "X-Buckthornchute-"
#define LONG_HEAD_BYTES 62000 /* the gateway takes 64 KB */
#define LONG_BODY_BYTES 1000000
#define PIECE_BYTES 10000

/* Sends text over and over, total_bytes of it or without end. Returns whether the peer is there. */
static bool put(int fd, const char *text, size_t total_bytes)
{
	size_t len = strlen(text);

	for (size_t sent = 0; !total_bytes || sent < total_bytes; sent += len) {
		if (send(fd, text, len, MSG_NOSIGNAL) != (ssize_t)len)
			return false;
	}
	return true;
}

static void answer(int fd, const char *id, const char *kind)
{
	static char piece[PIECE_BYTES + 1];
	char start[256];

	memset(piece, '0', PIECE_BYTES);
	snprintf(start, sizeof(start),
		 "HTTP/1.1 200 OK\r\n" HEAD "Request-Attempt-Id: %s\r\n" HEAD "Server-Seal: s\r\n",
		 id);
	if (!strcmp(kind, "interim")) {
		put(fd, "HTTP/1.1 100 Continue\r\n\r\n", 0);
		return;
	}
	put(fd, start, 1);
	if (!strcmp(kind, "head")) {
		put(fd, "X-More: 1\r\n", 0);
	} else if (!strcmp(kind, "line")) {
		put(fd, "X-More: ", 1);
		put(fd, piece, 0);
	} else if (!strcmp(kind, "chunk")) {
		put(fd, "Transfer-Encoding: chunked\r\n\r\n", 1);
		put(fd, piece, 0);
	} else if (!strcmp(kind, "body")) {
		put(fd, "\r\n", 1);
		put(fd, piece, 0);
	} else if (!strcmp(kind, "longbody")) {
		put(fd, "Content-Length: 2000000\r\n\r\n", 1);
		put(fd, piece, LONG_BODY_BYTES);
	} else {
		put(fd, "X-More: ", 1);
		put(fd, piece, LONG_HEAD_BYTES);
		if (!strcmp(kind, "wholehead"))
			put(fd, "\r\nContent-Length: 10\r\n\r\n", 1);
	}
}

static void *serve_conn(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char request[REQUEST_BYTES], id[64] = "", kind[32] = "";
	ssize_t n = recv(fd, request, sizeof(request) - 1, 0);
	const char *at;

	request[n > 0 ? n : 0] = '\0';
	at = strcasestr(request, HEAD "Request-Attempt-Id: ");
	if (at)
		sscanf(at + strlen(HEAD "Request-Attempt-Id: "), "%63[^\r]", id);
	sscanf(request, "%*s /broken/%31[a-z]", kind);
	answer(fd, id, kind);
	while (recv(fd, request, sizeof(request), 0) > 0)
		;
	close(fd);
	return NULL;
}

static void *serve(void *arg)
{
	int listener = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd < 0 || pthread_create(&thread, NULL, serve_conn, (void *)(intptr_t)fd))
			return NULL;
		pthread_detach(thread);
	}
}

uint16_t crowd_broken_serve(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	socklen_t len = sizeof(sa);
	pthread_t thread;

	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 512) ||
	    getsockname(fd, (struct sockaddr *)&sa, &len) ||
	    pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd))
		return 0;
	pthread_detach(thread);
	return ntohs(sa.sin_port);
}
