/*
 * reason.c - wire names, texts and letters of the tables in reason.h.
 */
#include "policy/reason.h"

typedef struct refuse_row {
	const char *wire;
	int http_status;
	const char *text;
} refuse_row_t;

typedef struct retry_row {
	const char *wire;
	const char *text;
} retry_row_t;

static const refuse_row_t refuse_rows[] = {
#define DEF(name, wire, http_status, text) { wire, http_status, text },
	BCT_REFUSE_LIST(DEF)
#undef DEF
};

static const retry_row_t retry_rows[] = {
#define DEF(name, wire, text) { wire, text },
	BCT_RETRY_LIST(DEF)
#undef DEF
};

static const char ended_by_letters[] = {
#define DEF(name, letter, text) letter,
	BCT_ENDED_BY_LIST(DEF)
#undef DEF
};

static const char state_letters[] = {
#define DEF(name, letter, text) letter,
	BCT_STATE_LIST(DEF)
#undef DEF
};

static const char *const run_wires[] = { "not_run", "unknown", "ran" };

const char *bct_refuse_wire(bct_refuse_t r)
{
	return refuse_rows[r].wire;
}

const char *bct_refuse_text(bct_refuse_t r)
{
	return refuse_rows[r].text;
}

int bct_refuse_status(bct_refuse_t r)
{
	return refuse_rows[r].http_status;
}

const char *bct_retry_wire(bct_retry_t r)
{
	return retry_rows[r].wire;
}

const char *bct_retry_text(bct_retry_t r)
{
	return retry_rows[r].text;
}

char bct_ended_by_letter(bct_ended_by_t e)
{
	return ended_by_letters[e];
}

char bct_state_letter(bct_state_t s)
{
	return state_letters[s];
}

const char *bct_run_wire(bct_run_t r)
{
	return run_wires[r];
}
