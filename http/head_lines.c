/*
 * head_lines.c - checks heads line by line against the grammar of RFC 9112, without exceptions.
 */
#include "http/head_lines.h"
#include "base/err.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#define VERSION_BYTES 8 /* "HTTP/1.1" */
#define STATUS_BYTES 3
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_OTHER_PROTOCOL 101

/* A non-empty token as HTTP defines it for methods and header names. */
static bool is_token(const char *s, const char *end)
{
	if (s == end)
		return false;
	for (; s < end; s++) {
		if (!*s || (!isalnum((unsigned char)*s) && !strchr("!#$%&'*+-.^_`|~", *s)))
			return false;
	}
	return true;
}

/* Whether there are no control characters other than tab. */
static bool is_text(const char *s, const char *end)
{
	for (; s < end; s++) {
		unsigned char c = (unsigned char)*s;

		if ((c < 0x20 && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

/* Whether the value consists of digits only, apart from surrounding blanks. */
static bool all_digits(const char *s, const char *end)
{
	while (s < end && (*s == ' ' || *s == '\t'))
		s++;
	while (end > s && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	if (s == end)
		return false;
	for (; s < end; s++) {
		if (!isdigit((unsigned char)*s))
			return false;
	}
	return true;
}

static bool name_is(const char *s, const char *end, const char *name)
{
	return (size_t)(end - s) == strlen(name) && !strncasecmp(s, name, strlen(name));
}

/* Whether the value, apart from surrounding blanks, is this text in any case of its letters. */
static bool value_is(const char *s, const char *end, const char *text)
{
	while (s < end && (*s == ' ' || *s == '\t'))
		s++;
	while (end > s && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	return name_is(s, end, text);
}

static int check_header(const char *line, const char *end, bct_http_framing_t *f)
{
	const char *colon = memchr(line, ':', (size_t)(end - line));

	if (!colon || !is_token(line, colon) || !is_text(colon + 1, end))
		return -BCT_ECODEC;
	if (name_is(line, colon, "Content-Length")) {
		f->content_lengths++;
		return all_digits(colon + 1, end) ? 0 : -BCT_ECODEC;
	}
	if (name_is(line, colon, "Transfer-Encoding")) {
		f->transfer_encodings++;
		f->other_codings += !value_is(colon + 1, end, "chunked");
	}
	f->hosts += name_is(line, colon, "Host");
	return 0;
}

/* HTTP/1. and one digit */
static bool is_version(const char *s, const char *end)
{
	return end - s == VERSION_BYTES && !memcmp(s, "HTTP/1.", VERSION_BYTES - 1) &&
	       isdigit((unsigned char)s[VERSION_BYTES - 1]);
}

/*
 * Three digits, 100 to 599 (RFC 9110, section 15). Not 101 either: no request of ours asks for
 * another protocol, so that nobody could read what follows.
 */
static bool is_status(const char *s)
{
	int status = 0;

	for (int i = 0; i < STATUS_BYTES; i++) {
		if (!isdigit((unsigned char)s[i]))
			return false;
		status = status * 10 + s[i] - '0';
	}
	return status >= STATUS_MIN && status <= STATUS_MAX && status != STATUS_OTHER_PROTOCOL;
}

/* A status line has a single space before the status, and one or nothing after it. */
static int check_status_line(const char *line, const char *end)
{
	const char *status = line + VERSION_BYTES + 1, *reason = status + STATUS_BYTES;

	if (end < reason || !is_version(line, status - 1) || status[-1] != ' ')
		return -BCT_ECODEC;
	if (!is_status(status) || (reason < end && *reason != ' '))
		return -BCT_ECODEC;
	return is_text(reason, end) ? 0 : -BCT_ECODEC;
}

/* A request line has exactly two single spaces: method, target and an HTTP/1.x version. */
static int check_request_line(const char *line, const char *end)
{
	const char *space = memchr(line, ' ', (size_t)(end - line));
	const char *last = end;

	if (!space || !is_text(line, end))
		return -BCT_ECODEC;
	while (last > line && last[-1] != ' ')
		last--;
	if (last - 1 <= space || !is_token(line, space))
		return -BCT_ECODEC;
	if (memchr(space + 1, ' ', (size_t)(last - 1 - (space + 1))))
		return -BCT_ECODEC;
	return is_version(last, end) ? 0 : -BCT_ECODEC;
}

int bct_http_field_check(const char *line, size_t len_bytes, bct_http_framing_t *f)
{
	return check_header(line, line + len_bytes, f);
}

int bct_http_status_line_check(const char *line, size_t len_bytes)
{
	return check_status_line(line, line + len_bytes);
}

bool bct_http_framing_is_clear(const bct_http_framing_t *f)
{
	return f->content_lengths + f->transfer_encodings <= 1;
}

static int check_first_line(const char *line, const char *end, bool request)
{
	return request ? check_request_line(line, end) : check_status_line(line, end);
}

/* Checks each line, and counts the headers that determine framing or routing. */
static int check_lines(const char *head, size_t len_bytes, bool request, bct_http_framing_t *f)
{
	const char *at = head, *stop = head + len_bytes - 2;
	bool first = true;

	while (at < stop) {
		const char *cr = memchr(at, '\r', (size_t)(stop + 1 - at));
		int rc;

		if (!cr || cr[1] != '\n')
			return -BCT_ECODEC;
		rc = first ? check_first_line(at, cr, request) : check_header(at, cr, f);
		if (rc)
			return rc;
		first = false;
		at = cr + 2;
	}
	return 0;
}

int bct_http_lines_check(const char *head, size_t len_bytes)
{
	bct_http_framing_t f = { 0 };

	return check_lines(head, len_bytes, true, &f);
}

int bct_http_head_check_hosts(const char *head, size_t len_bytes, bool request, uint32_t hosts_min,
			      uint32_t hosts_max)
{
	bct_http_framing_t f = { 0 };
	int rc = check_lines(head, len_bytes, request, &f);

	if (rc)
		return rc;
	/* Ambiguous framing: the next parser might use another of the headers. */
	if (!bct_http_framing_is_clear(&f) || (!request && f.other_codings))
		return -BCT_ECODEC;
	return f.hosts < hosts_min || f.hosts > hosts_max ? -BCT_ECODEC : 0;
}

int bct_http_head_check(const char *head, size_t len_bytes, bool request)
{
	return bct_http_head_check_hosts(head, len_bytes, request, request ? 1 : 0,
					 request ? 1 : UINT32_MAX);
}
