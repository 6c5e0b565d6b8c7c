/*
 * config_doc.h - the configuration document as a set of objects, each with a path. A change record
 * carries the objects that it sets or deletes.
 */
#ifndef BCT_COORD_CONFIG_DOC_H
#define BCT_COORD_CONFIG_DOC_H

#include "base/json.h"
#include "gen/record.h"

/*
 * bct_config_doc_apply(3): build a copy of doc with the given objects set or deleted. Empty
 * sections are removed, so that documents with the same content have the same digest. doc is not
 * changed.
 *
 * n        number of objects
 * err      set when an object is malformed, with the object's path
 * returns  0; -BCT_ERANGE (path), -BCT_ESYNTAX, -BCT_ETOO_DEEP (text); -BCT_ENOMEM
 */
int bct_config_doc_apply(const json_t *doc, const bct_xobject *objects, uint32_t n,
			 bct_json_err_t *err, json_t **out);

#endif
