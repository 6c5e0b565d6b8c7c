/*
 * addr.h - a comparable pair of IP address and port.
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
 * bct_addr_parse(3): parse a numeric IPv4 or IPv6 address. Host names are not resolved.
 *
 * returns  0 or -BCT_EINVAL
 */
int bct_addr_parse(const char *ip, uint16_t port, bct_addr_t *out);

/*
 * bct_addr_parse_port(3): parse IP:PORT, with an IPv6 address in brackets. Port 0 is invalid.
 *
 * returns  0 or -BCT_EINVAL
 */
int bct_addr_parse_port(const char *text, bct_addr_t *out);

/*
 * bct_addr_print_ip(3): format the IP address without the port; an empty string for no address.
 *
 * out_bytes  BCT_ADDR_BYTES suffices
 */
void bct_addr_print_ip(const bct_addr_t *a, char *out, uint32_t out_bytes);

/*
 * bct_addr_print(3): format as IP:PORT, with an IPv6 address in brackets.
 *
 * out_bytes  BCT_ADDR_PORT_BYTES suffices
 */
void bct_addr_print(const bct_addr_t *a, char *out, uint32_t out_bytes);

bool bct_addr_eq(const bct_addr_t *a, const bct_addr_t *b);

#endif
