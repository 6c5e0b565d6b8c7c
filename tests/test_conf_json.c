/*
 * test_conf_json.c - the example documents are valid, each error names its key and what is
 * allowed, and a failed allocation at any point never makes a document count as invalid.
 */
#include "base/err.h"
#include "base/mem.h"
#include "coord/conf_json.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MAX_BYTES (1024 * 1024)
#define ALLOCATIONS_MAX 1000 /* more than validating the test document takes */

#define HASH "0000000000000000000000000000000000000000000000000000000000000001"
#define ENGINE                                                                            \
	"\"e1\": {\"kind\": \"engine\", \"models\": [\"m\"], \"address\": \"10.0.0.1\", " \
	"\"port\": 80, \"failure_domain\": \"a\", \"region\": \"r\"}"
#define SERVICE                                                                             \
	"\"s1\": {\"kind\": \"service\", \"service\": \"desk\", \"address\": \"10.0.0.2\"," \
	"\"port\": 80, \"failure_domain\": \"a\", \"region\": \"r\"}"
#define CLASS "\"c\": {\"tier\": 1, \"model\": \"m\", \"ttft_ms\": 100}"
#define LIMITS "\"limits\": {\"requests_per_s\": 1, \"tokens_per_s\": 1, \"concurrent\": 1}"
#define DOC(upstreams, account)                                                            \
	"{\"models\": {\"m\": {}}, \"upstreams\": {" upstreams "}, \"contracts\": {\"a\":" \
	"{" account "}}}"
#define ACCOUNT(hashes, limits, classes) \
	"\"token_hashes\": [" hashes "]," limits ", \"classes\": {" classes "}"
#define WITH_CLASS(c) DOC(ENGINE "," SERVICE, ACCOUNT("\"" HASH "\"", LIMITS, c))

/* Parses and validates a document. Returns 0 or the error. */
static int check(const char *text, bct_json_err_t *err, bct_conf_t **conf)
{
	json_t *doc = bct_json_parse(text, strlen(text), MAX_BYTES, err);
	int rc = doc ? bct_conf_from_json(doc, 1, err, conf) : err->err;

	json_decref(doc);
	return rc;
}

static const struct {
	const char *text;
	int err;
	const char *path;   /* beginning of the reported path */
	const char *detail; /* part of the reported text */
} invalid[] = {
	{ "[]", BCT_ETYPE, "", "an object" },
	{ "{\"model\": {}}", BCT_EUNKNOWN_KEY, "model", "timeouts, models" },
	{ "{\"models\": {}, \"models\": {}}", BCT_ESYNTAX, "", "duplicate" },
	{ "{\"timeouts\": {\"stall_ms\": 1.5}}", BCT_ETYPE, "timeouts.stall_ms", "an integer" },
	{ "{\"timeouts\": {\"stall_ms\": 1}}", BCT_ERANGE, "timeouts.stall_ms", "10 to 600000" },
	{ "{\"timeouts\": null}", BCT_ETYPE, "timeouts", "an object" },
	{ "{\"models\": {\"a b\": {}}}", BCT_ERANGE, "models.a b", "letters" },
	{ "{\"models\": []}", BCT_ETYPE, "models", "an object" },
	{ "{\"upstreams\": {" ENGINE "}}", BCT_EREFERENCE, "upstreams.e1.models", "no model" },
	{ "{\"upstreams\": {\"x\": {\"kind\": \"gpu\", \"address\": \"::1\", \"port\": 1,"
	  "\"failure_domain\": \"a\", \"region\": \"r\"}}}",
	  BCT_ERANGE, "upstreams.x.kind", "engine" },
	{ "{\"upstreams\": {\"x\": {\"kind\": \"service\", \"address\": \"host\"}}}", BCT_ERANGE,
	  "upstreams.x.address", "IPv4" },
	{ DOC(ENGINE ", \"e2\":"
		     "{\"kind\": \"engine\", \"models\": [\"m\"], \"address\":"
		     "\"10.0.0.1\", \"port\": 80, \"failure_domain\": \"a\", \"region\": \"r\"}",
	      ACCOUNT("\"" HASH "\"", LIMITS, CLASS)),
	  BCT_EDUPLICATE, "upstreams.e", "address and port" },
	{ DOC(ENGINE, ACCOUNT("\"" HASH "\",\"" HASH "\"", LIMITS, CLASS)), BCT_EDUPLICATE,
	  "contracts.a", "token hash" },
	{ DOC(ENGINE, ACCOUNT("\"12\"", LIMITS, CLASS)), BCT_ERANGE, "contracts.a.token_hashes",
	  "64 hex" },
	{ DOC(ENGINE, ACCOUNT("\"" HASH "\"", "\"limits\": {\"tokens_per_s\": 1}", CLASS)),
	  BCT_EMISSING_KEY, "contracts.a.limits.requests_per_s", "required" },
	{ DOC(ENGINE, ACCOUNT("\"" HASH "\"", LIMITS, "")), BCT_ERANGE, "contracts.a.classes",
	  "1 to 32" },
	{ WITH_CLASS("\"c\": {\"tier\": 6, \"model\": \"m\", \"ttft_ms\": 1}"), BCT_ERANGE,
	  "contracts.a.classes.c.tier", "1 to 5" },
	{ WITH_CLASS("\"c\": {\"tier\": 1, \"model\": \"x\", \"ttft_ms\": 1}"), BCT_EREFERENCE,
	  "contracts.a.classes.c.model", "under \"models\"" },
	{ WITH_CLASS("\"c\": {\"tier\": 1, \"service\": \"x\", \"ttft_ms\": 1}"), BCT_EREFERENCE,
	  "contracts.a.classes.c.service", "service of an upstream" },
	{ WITH_CLASS("\"c\": {\"tier\": 1, \"service\": \"desk\", \"ttft_ms\": 1}"),
	  BCT_EMISSING_KEY, "contracts.a.classes.c.repeatable", "run twice" },
	{ WITH_CLASS("\"c\": {\"tier\": 1, \"model\": \"m\", \"service\": \"desk\","
		     "\"ttft_ms\": 1}"),
	  BCT_EUNKNOWN_KEY, "contracts.a.classes.c.model", "exactly one" },
	{ WITH_CLASS("\"c\": {\"tier\": 1, \"model\": \"m\", \"ttft_ms\": 9, \"deadline_ms\": 8}"),
	  BCT_ERANGE, "contracts.a.classes.c.deadline_ms", "at least ttft_ms" },
};

Test(conf_json, errors_name_the_path_and_what_is_allowed)
{
	bct_json_err_t err;
	bct_conf_t *conf;
	size_t i;

	for (i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		cr_assert_eq(check(invalid[i].text, &err, &conf), -invalid[i].err, "%s: %s",
			     invalid[i].text, err.detail);
		cr_assert_eq(err.err, -invalid[i].err);
		cr_assert(strncmp(err.path, invalid[i].path, strlen(invalid[i].path)) == 0,
			  "got path %s, expected %s", err.path, invalid[i].path);
		cr_assert_not_null(strstr(err.detail, invalid[i].detail), "%s", err.detail);
	}
}

Test(conf_json, values_and_defaults_are_stored)
{
	bct_json_err_t err;
	bct_conf_t *c;
	const bct_class_conf_t *class;

	cr_assert_eq(check(WITH_CLASS(CLASS), &err, &c), 0);
	cr_assert_eq(c->timeouts.connect_ms, 1000);
	cr_assert_eq(c->upstreams[0].port, 80);
	cr_assert(bct_upstream_serves(bct_conf_upstream(c, bct_hash_str("e1")), bct_hash_str("m")));
	class = bct_account_class(bct_conf_account(c, bct_hash_str("a")), bct_hash_str("c"));
	cr_assert_eq(class->tier, 1);
	cr_assert_eq(class->ttft_ms, 100);
	cr_assert_eq(class->max_output_tokens, 4096);
	cr_assert(class->repeatable);
	bct_conf_unref(c);
}

Test(conf_json, digest_does_not_depend_on_order_or_comments)
{
	const char *a = "{\"models\": {\"x\": {}, \"y\": {}}, \"upstreams\": {}}";
	const char *b = "{\"upstreams\": {}, // same\n \"models\": {\"y\": {}, \"x\": {}}}";
	bct_json_err_t err;
	bct_conf_t *ca, *cb;

	cr_assert_eq(check(a, &err, &ca), 0);
	cr_assert_eq(check(b, &err, &cb), 0);
	cr_assert_eq(memcmp(&ca->digest, &cb->digest, sizeof(ca->digest)), 0);
	bct_conf_unref(ca);
	bct_conf_unref(cb);
}

/* Checks that an example document is valid and has the given number of objects of each kind. */
static void check_example(const char *path, uint32_t engines, uint32_t services, uint32_t accounts)
{
	bct_json_err_t err;
	char text[512] = "";
	bct_conf_t *c = NULL;
	json_t *doc = bct_json_load(path, MAX_BYTES, &err);
	uint32_t n_engines = 0, i;

	if (!doc || bct_conf_from_json(doc, 1, &err, &c))
		bct_json_err_print(&err, path, text, sizeof(text));
	cr_assert_not_null(c, "%s", text);
	for (i = 0; i < c->n_upstreams; i++)
		n_engines += c->upstreams[i].kind == BCT_UPSTREAM_ENGINE;
	cr_assert_eq(n_engines, engines);
	cr_assert_eq(c->n_upstreams - n_engines, services);
	cr_assert_eq(c->n_accounts, accounts);
	bct_conf_unref(c);
	json_decref(doc);
}

Test(conf_json, examples_of_both_deployments_are_valid)
{
	check_example("examples/nyaymitra.json", 10, 4, 10);
	check_example("examples/harrowgate.json", 12, 3, 10);
}

/* Fills in the @...@ placeholders with port numbers, as examples/demo.sh does with sed. */
Test(conf_json, demo_is_valid_with_ports_filled_in)
{
	bct_json_err_t err;
	char text[8192];
	FILE *f = fopen("examples/demo.json", "r");
	size_t n = fread(text, 1, sizeof(text) - 1, f), port = 8000;
	bct_conf_t *c;
	char *at;

	fclose(f);
	text[n] = '\0';
	while ((at = strchr(text, '@'))) {
		size_t len = (size_t)(strchr(at + 1, '@') - at) + 1;

		memset(at, ' ', len);
		memcpy(at,
		       (char[5]){ '8', '0', (char)('0' + port / 10 % 10), (char)('0' + port % 10),
				  ' ' },
		       5);
		port++;
	}
	cr_assert_eq(check(text, &err, &c), 0, "%s", err.detail);
	cr_assert_eq(c->n_upstreams, 3);
	cr_assert_eq(c->n_accounts, 2);
	bct_conf_unref(c);
}

Test(conf_json, failed_allocation_is_not_reported_as_invalid_document)
{
	const char *text = WITH_CLASS(CLASS);
	int allocations, rc = -BCT_ENOMEM, failed = 0;
	bct_json_err_t err;
	bct_conf_t *conf;
	json_t *doc = bct_json_parse(text, strlen(text), MAX_BYTES, &err);

	/* Parsing is not tested this way: jansson's lexer fails an assertion without memory. */
	json_set_alloc_funcs(bct_alloc, bct_free);
	for (allocations = 0; allocations < ALLOCATIONS_MAX; allocations++) {
		conf = NULL;
		bct_mem_fail_after(allocations);
		rc = bct_conf_from_json(doc, 1, &err, &conf);
		bct_mem_fail_after(-1);
		cr_assert(rc == 0 || rc == -BCT_ENOMEM, "failing after %d allocations: %s",
			  allocations, bct_err_name(rc));
		failed += rc != 0;
		bct_conf_unref(conf);
	}
	json_decref(doc);
	/* The last runs fail no allocation, because they allow more than there are. */
	cr_assert_gt(failed, 10);
	cr_assert_eq(rc, 0);
}
