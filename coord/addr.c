/*
 * addr.c - parsing and formatting of addresses with inet_pton(3) and inet_ntop(3).
 */
#include "coord/addr.h"
#include "base/err.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int bct_addr_parse(const char *ip, uint16_t port, bct_addr_t *out)
{
	memset(out, 0, sizeof(*out));
	out->port = port;
	if (inet_pton(AF_INET, ip, out->ip) == 1)
		out->ip_len_bytes = 4;
	else if (inet_pton(AF_INET6, ip, out->ip) == 1)
		out->ip_len_bytes = 16;
	return out->ip_len_bytes ? 0 : -BCT_EINVAL;
}

void bct_addr_print_ip(const bct_addr_t *a, char *out, uint32_t out_bytes)
{
	int family = a->ip_len_bytes == 4 ? AF_INET : AF_INET6;

	if (!a->ip_len_bytes || !inet_ntop(family, a->ip, out, out_bytes))
		out[0] = '\0';
}

void bct_addr_print(const bct_addr_t *a, char *out, uint32_t out_bytes)
{
	char ip[BCT_ADDR_BYTES];

	bct_addr_print_ip(a, ip, sizeof(ip));
	snprintf(out, out_bytes, a->ip_len_bytes == 16 ? "[%s]:%u" : "%s:%u", ip, a->port);
}

bool bct_addr_eq(const bct_addr_t *a, const bct_addr_t *b)
{
	return a->port == b->port && a->ip_len_bytes == b->ip_len_bytes &&
	       memcmp(a->ip, b->ip, a->ip_len_bytes) == 0;
}

int bct_addr_parse_port(const char *text, bct_addr_t *out)
{
	const char *colon = strrchr(text, ':');
	char ip[BCT_ADDR_BYTES];
	size_t len = colon ? (size_t)(colon - text) : 0;
	unsigned long port = colon ? strtoul(colon + 1, NULL, 10) : 0;

	if (!len || len >= sizeof(ip) || !port || port > UINT16_MAX)
		return -BCT_EINVAL;
	if (text[0] == '[' && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	snprintf(ip, sizeof(ip), "%.*s", (int)len, text);
	return bct_addr_parse(ip, (uint16_t)port, out);
}
