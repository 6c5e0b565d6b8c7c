/*
 * conf_json.h - strict validation, canonical form and digest of the configuration document.
 *
 * docs/CONFIGURATION.md lists the fields. Validation depends on the document alone and not on the
 * state of the node, so that all nodes accept the same documents.
 */
#ifndef BCT_COORD_CONF_JSON_H
#define BCT_COORD_CONF_JSON_H

#include "base/buf.h"
#include "base/json.h"
#include "policy/conf.h"

/* Limit of the canonical text; a snapshot of the document has to fit into one log record. */
#define BCT_CONF_MAX_BYTES (1000 * 1024)

/*
 * bct_conf_canonical(3): append the document as JSON with sorted keys and no white space to out.
 *
 * returns  0; -BCT_ENOMEM; -BCT_ETOO_LARGE when the text exceeds BCT_CONF_MAX_BYTES
 */
int bct_conf_canonical(const json_t *doc, bct_buf_t *out);

/*
 * bct_conf_digest(3): compute the digest of the canonical text.
 *
 * returns  as bct_conf_canonical(3)
 */
int bct_conf_digest(const json_t *doc, bct_digest_t *out);

/*
 * bct_conf_from_json(3): validate a document and build the typed configuration from it.
 *
 * revision  stored in the result
 * err       set on failure: path of the key, what is wrong and what is allowed
 * out       set on success: one reference, which the caller releases with bct_conf_unref(3)
 * returns   0; -BCT_ETYPE, -BCT_ERANGE, -BCT_EUNKNOWN_KEY, -BCT_EMISSING_KEY, -BCT_EDUPLICATE,
 *           -BCT_EREFERENCE or -BCT_ETOO_LARGE when the document is invalid; -BCT_ENOMEM when
 *           memory ran out and the document may be valid or not
 */
int bct_conf_from_json(const json_t *doc, uint64_t revision, bct_json_err_t *err, bct_conf_t **out);

/* bct_digest_hex(3): format a digest as 64 hex digits and a terminating NUL. */
#define BCT_DIGEST_HEX_BYTES (BCT_DIGEST_BYTES * 2 + 1)
void bct_digest_hex(const bct_digest_t *d, char out[BCT_DIGEST_HEX_BYTES]);

/* bct_digest_parse(3): parse a digest of exactly 64 hex digits. returns 0 or -BCT_EINVAL. */
int bct_digest_parse(const char *hex, bct_digest_t *out);

#endif
