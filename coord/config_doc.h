/*
 * config_doc.h - the configuration document as a set of objects, each with a path: what a change
 * record carries, and how it is applied.
 */
#ifndef BCT_COORD_CONFIG_DOC_H
#define BCT_COORD_CONFIG_DOC_H

#include "base/json.h"
#include "gen/record.h"

/*
 * bct_config_doc_apply(3): a new document, which differs from doc in the given objects. A section
 * that becomes empty is left out, so that one content has one digest. doc is not changed.
 *
 * err      filled on failure, with the object's path
 * returns  0; -BCT_ERANGE (path), -BCT_ESYNTAX, -BCT_ETOO_DEEP (text); -BCT_ENOMEM
 */
int bct_config_doc_apply(const json_t *doc, const bct_xobject *objects, uint32_t n,
			 bct_json_err_t *err, json_t **out);

#endif
