/*
 * gate_entry.c - checks entries. An id goes into headers, an address into connect(2); a start time
 * or a sequence number that no upstream reaches would outdo all later entries under the id.
 */
#include "policy/gate_entry.h"

#include <arpa/inet.h>
#include <string.h>

#define FIRST_MULTICAST 224U /* first octet; what is above is reserved or broadcast */

/* Whether all characters of a text are printable ASCII, without blanks. */
static bool is_token(const char *s)
{
	if (!*s)
		return false;
	for (; *s; s++) {
		if (*s <= ' ' || *s > '~')
			return false;
	}
	return true;
}

/* Whether a text can be a name: any but control characters. */
static bool is_name(const char *s)
{
	for (; *s; s++) {
		if ((unsigned char)*s < ' ' || *s == 0x7f)
			return false;
	}
	return true;
}

/* Whether a connection to the address can reach one host. */
static bool is_address(const char *ip)
{
	uint8_t octets[4];

	return inet_pton(AF_INET, ip, octets) == 1 && octets[0] && octets[0] < FIRST_MULTICAST;
}

const char *bct_gate_entry_fault(const bct_gate_entry_t *e)
{
	if (!is_token(e->id))
		return "id";
	if (!e->service[0] || !is_name(e->service))
		return "service";
	if (!is_name(e->zone))
		return "failure domain";
	if (!is_address(e->ip) || !e->port)
		return "address";
	if (e->slots > BCT_GATE_SLOTS_MAX)
		return "slots";
	if (e->born_ms < 0 || e->born_ms > BCT_GATE_BORN_MAX_MS)
		return "start time";
	return e->sequence > BCT_GATE_SEQUENCE_MAX ? "sequence number" : NULL;
}
