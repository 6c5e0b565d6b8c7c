/*
 * conf_json.h - the configuration document: strict validation, canonical text and digest.
 *
 * docs/CONFIGURATION.md lists the fields. A document that passes here is valid on every node: the
 * outcome depends on nothing but the document.
 */
#ifndef BCT_COORD_CONF_JSON_H
#define BCT_COORD_CONF_JSON_H

#include "base/buf.h"
#include "base/json.h"
#include "policy/conf.h"

/* A snapshot of the document has to fit one record of the log. */
#define BCT_CONF_MAX_BYTES (1000 * 1024)

/*
 * bct_conf_canonical(3): the document with sorted keys and no white space.
 *
 * returns  0, -BCT_ENOMEM, or -BCT_ETOO_LARGE past BCT_CONF_MAX_BYTES
 */
int bct_conf_canonical(const json_t *doc, bct_buf_t *out);

/* bct_conf_digest(3): digest of the canonical text. returns as bct_conf_canonical(3). */
int bct_conf_digest(const json_t *doc, bct_digest_t *out);

/*
 * bct_conf_from_json(3): validate a document and build the typed configuration.
 *
 * revision  stored in the result
 * err       filled on failure: path.of.key, what is wrong and what is allowed
 * out       one reference, to be released with bct_conf_unref(3)
 * returns   0; -BCT_ETYPE, -BCT_ERANGE, -BCT_EUNKNOWN_KEY, -BCT_EMISSING_KEY, -BCT_EDUPLICATE,
 *           -BCT_EREFERENCE, -BCT_ETOO_LARGE: the document is invalid; -BCT_ENOMEM: not known
 */
int bct_conf_from_json(const json_t *doc, uint64_t revision, bct_json_err_t *err, bct_conf_t **out);

/* bct_digest_hex(3): a digest as 64 hex digits. */
#define BCT_DIGEST_HEX_BYTES (BCT_DIGEST_BYTES * 2 + 1)
void bct_digest_hex(const bct_digest_t *d, char out[BCT_DIGEST_HEX_BYTES]);

/* bct_digest_parse(3): 64 hex digits. returns 0 or -BCT_EINVAL. */
int bct_digest_parse(const char *hex, bct_digest_t *out);

#endif
