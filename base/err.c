/*
 * err.c - names and texts of the errors listed in err.h.
 */
#include "base/err.h"

#include <stdlib.h>

const char *bct_err_name(int err)
{
	switch (abs(err)) {
	case BCT_OK:
		return "OK";
#define DEF(name, code, text) \
	case BCT_E##name:     \
		return "E" #name;
		BCT_ERR_LIST(DEF)
#undef DEF
	default:
		return "EUNKNOWN";
	}
}

const char *bct_err_text(int err)
{
	switch (abs(err)) {
	case BCT_OK:
		return "success";
#define DEF(name, code, text) \
	case BCT_E##name:     \
		return text;
		BCT_ERR_LIST(DEF)
#undef DEF
	default:
		return "unknown error number";
	}
}
