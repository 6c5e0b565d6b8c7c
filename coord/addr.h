/*
 * addr.h - an IP address and port in one comparable value.
 */
#ifndef BCT_COORD_ADDR_H
#define BCT_COORD_ADDR_H

#include "policy/conf.h"

#include <stdbool.h>
#include <stdint.h>

#define BCT_IP_BYTES 16
#define BCT_ADDR_PORT_BYTES (BCT_ADDR_BYTES + 10) /* "[address]:port" */

typedef struct bct_addr {
	uint8_t ip[BCT_IP_BYTES];
	uint8_t ip_len_bytes; /* 4, 16, or 0 for no address */
	uint16_t port;
} bct_addr_t;

/*
 * bct_addr_parse(3): read an IPv4 or IPv6 number. Names are not looked up.
 *
 * returns  0 or -BCT_EINVAL
 */
int bct_addr_parse(const char *ip, uint16_t port, bct_addr_t *out);

/* bct_addr_parse_port(3): read IP:PORT; an IPv6 number stands in brackets. As above. */
int bct_addr_parse_port(const char *text, bct_addr_t *out);

/* bct_addr_print_ip(3): print the number without the port; an empty string for no address. */
void bct_addr_print_ip(const bct_addr_t *a, char *out, uint32_t out_bytes);

/* bct_addr_print(3): print number and port; an IPv6 number stands in brackets. */
void bct_addr_print(const bct_addr_t *a, char *out, uint32_t out_bytes);

bool bct_addr_eq(const bct_addr_t *a, const bct_addr_t *b);

#endif
