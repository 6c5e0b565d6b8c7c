/*
 * err.h - error numbers of the library, each with a name and a text.
 *
 * Functions return 0 or a positive count on success and one of -BCT_E* on failure. A new error is
 * added as a line of BCT_ERR_LIST, from which docs/ERRORS.md is generated.
 */
#ifndef BCT_BASE_ERR_H
#define BCT_BASE_ERR_H

/* DEF(name, code, text) */
#define BCT_ERR_LIST(DEF)                                                                \
	DEF(NOMEM, 1, "memory could not be allocated")                                   \
	DEF(INVAL, 2, "an argument is outside its allowed range")                        \
	DEF(IO, 3, "a file or socket operation failed")                                  \
	DEF(SYNTAX, 4, "the text is not well-formed JSON")                               \
	DEF(TYPE, 5, "a value has the wrong type")                                       \
	DEF(RANGE, 6, "a value is outside its allowed range")                            \
	DEF(UNKNOWN_KEY, 7, "the object has an unknown key")                             \
	DEF(MISSING_KEY, 8, "a required key is missing")                                 \
	DEF(TOO_LARGE, 9, "the input is larger than allowed")                            \
	DEF(TOO_DEEP, 10, "the input is nested deeper than allowed")                     \
	DEF(DUPLICATE, 11, "a name occurs twice")                                        \
	DEF(NOT_FOUND, 12, "no such object")                                             \
	DEF(CODEC, 13, "a message or record could not be decoded")                       \
	DEF(AUTH, 14, "a message or caller could not be authenticated")                  \
	DEF(REPLAY, 15, "the message is a replay or too old")                            \
	DEF(TIMEOUT, 16, "the operation did not finish in time")                         \
	DEF(UNAVAILABLE, 17, "the remote end cannot be reached")                         \
	DEF(UNKNOWN_OUTCOME, 18, "the operation may or may not have taken effect")       \
	DEF(STALE, 19, "the change is based on an older revision than the one in force") \
	DEF(DIVERGED, 20, "a replica's digest differs from the recorded one")            \
	DEF(EXPIRED, 21, "the log no longer has the requested records")                  \
	DEF(BUDGET, 22, "the retry budget is spent")                                     \
	DEF(FULL, 23, "a queue or table is full")                                        \
	DEF(STATE, 24, "the object's state does not allow the operation")                \
	DEF(CONFLICT, 25, "the key was used before with another request")                \
	DEF(FENCED, 26, "the fencing token is older than one already seen")              \
	DEF(REFERENCE, 27, "a name refers to an object that does not exist")

typedef enum bct_err {
	BCT_OK = 0,
#define DEF(name, code, text) BCT_E##name = (code),
	BCT_ERR_LIST(DEF)
#undef DEF
} bct_err_t;

/*
 * bct_err_name(3), bct_err_text(3): the name and the text of an error.
 *
 * err      error number, negative or positive
 * returns  a static string; "EUNKNOWN" or its text for a number that is not in BCT_ERR_LIST
 */
const char *bct_err_name(int err);
const char *bct_err_text(int err);

#endif
