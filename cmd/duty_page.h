/*
 * duty_page.h - reads what the metrics page of a gateway says about the duties of the fleet.
 */
#ifndef BCT_CMD_DUTY_PAGE_H
#define BCT_CMD_DUTY_PAGE_H

#include <jansson.h>

/*
 * duty_page_parse(3): the metrics bct_duty_* of a page in the Prometheus text format. Counters
 * (bct_duty_*_total) are left out.
 *
 * page     its lines; changed
 * returns  a new reference, or NULL if the node has no duties: an object with the numbers held,
 *          fencing_token, record_age_ms, window_decided, window_reported and reports_waiting, as
 * far as they are on the page; holder and incarnation; and the array engines with service,
 *          failure_domain, kind, wanted and present
 */
json_t *duty_page_parse(char *page);

#endif
