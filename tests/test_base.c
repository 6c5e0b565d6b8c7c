/*
 * test_base.c - unit tests of the buffer, JSON with comments, errors, list and random numbers.
 */
#include "base/buf.h"
#include "base/err.h"
#include "base/json.h"
#include "base/list.h"
#include "base/mem.h"
#include "base/rng.h"

#include <criterion/criterion.h>
#include <string.h>

Test(buf, keeps_first_error_and_limit)
{
	bct_buf_t b;

	bct_buf_init(&b, 8);
	cr_assert_eq(bct_buf_puts(&b, "12345678"), 0);
	cr_assert_eq(bct_buf_puts(&b, "9"), -BCT_ETOO_LARGE);
	cr_assert_eq(b.err, -BCT_ETOO_LARGE);
	cr_assert_str_eq(b.data, "12345678");
	bct_buf_consume(&b, 3);
	cr_assert_str_eq(b.data, "45678");
	bct_buf_free(&b);
}

Test(buf, reports_failed_allocation)
{
	bct_buf_t b;

	bct_buf_init(&b, 0);
	bct_mem_fail_after(0);
	cr_assert_eq(bct_buf_puts(&b, "x"), -BCT_ENOMEM);
	bct_mem_fail_after(-1);
	bct_buf_clear(&b);
	cr_assert_eq(bct_buf_printf(&b, "%d-%s", 7, "y"), 0);
	cr_assert_str_eq(b.data, "7-y");
	bct_buf_free(&b);
}

Test(json, comments_keep_line_and_column)
{
	const char *text = "{ // one\n  \"a\": 1, /* two\n */ \"b\": x }";
	bct_json_err_t err;

	cr_assert_null(bct_json_parse(text, strlen(text), 1000, &err));
	cr_assert_eq(err.err, -BCT_ESYNTAX);
	cr_assert_eq(err.line, 3);
}

Test(json, comment_marks_inside_strings_stay)
{
	const char *text = "{\"a\": \"http://x/*y*/\\\"//\"} // end";
	bct_json_err_t err;
	json_t *doc = bct_json_parse(text, strlen(text), 1000, &err);

	cr_assert_not_null(doc);
	cr_assert_str_eq(json_string_value(json_object_get(doc, "a")), "http://x/*y*/\"//");
	json_decref(doc);
}

Test(json, refuses_duplicate_deep_and_large)
{
	const char *dup = "{\"a\": 1, \"a\": 2}";
	const char *deep = "[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]";
	bct_json_err_t err;

	cr_assert_null(bct_json_parse(dup, strlen(dup), 1000, &err));
	cr_assert_eq(err.err, -BCT_ESYNTAX);
	cr_assert_null(bct_json_parse(deep, strlen(deep), 1000, &err));
	cr_assert_eq(err.err, -BCT_ETOO_DEEP);
	cr_assert_null(bct_json_parse(dup, strlen(dup), 4, &err));
	cr_assert_eq(err.err, -BCT_ETOO_LARGE);
}

Test(err, every_number_has_a_name)
{
	cr_assert_str_eq(bct_err_name(-BCT_ENOMEM), "ENOMEM");
	cr_assert_str_eq(bct_err_name(9999), "EUNKNOWN");
	cr_assert_str_eq(bct_err_text(-BCT_ESTALE),
			 "the change is based on an older revision than the one in force");
}

Test(list, removal_inside_a_loop)
{
	bct_list_t head, a, b, *el, *tmp;
	int seen = 0;

	bct_list_init(&head);
	bct_list_add_tail(&a, &head);
	bct_list_add_head(&b, &head);
	cr_assert_eq(head.next, &b);
	bct_list_for_each_safe(el, tmp, &head) {
		bct_list_del(el);
		seen++;
	}
	cr_assert_eq(seen, 2);
	cr_assert(bct_list_empty(&head));
}

Test(rng, same_seed_same_run)
{
	bct_rng_t a, b;

	bct_rng_seed(&a, 42);
	bct_rng_seed(&b, 42);
	for (int i = 0; i < 100; i++) {
		uint32_t x = bct_rng_below(&a, 10);

		cr_assert_eq(x, bct_rng_below(&b, 10));
		cr_assert_lt(x, 10);
	}
}
