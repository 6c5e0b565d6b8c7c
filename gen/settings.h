/*
 * settings.h - generated from schema/settings.json; do not edit.
 */
#ifndef BCT_GEN_SETTINGS_H
#define BCT_GEN_SETTINGS_H

#include "base/settings.h"

typedef struct bct_settings {
	char vm_name[48];
	char vm_failure_domain[48];
	char vm_region[48];
	char caller_address[48];
	uint32_t caller_port;
	uint32_t caller_threads;
	uint32_t caller_max_connections;
	uint32_t caller_max_header_bytes;
	uint32_t caller_max_body_bytes;
	uint32_t caller_body_memory_bytes;
	uint32_t caller_receive_timeout_ms;
	uint32_t caller_write_timeout_ms;
	uint32_t caller_stream_buffer_bytes;
	uint32_t caller_entry_lifetime_ms;
	char admin_address[48];
	uint32_t admin_port;
	char admin_token_hash[65];
	char peer_address[48];
	uint32_t peer_port;
	char peer_secret[129];
	char peer_seeds[64][64];
	uint32_t n_peer_seeds;
	char platform_url[256];
	uint32_t platform_timeout_ms;
	uint32_t platform_poll_ms;
	char platform_config_file[256];
	uint32_t platform_key_streams;
	uint32_t keys_commit_ms;
	uint32_t keys_claim_ms;
	uint32_t keys_run_ms;
	uint32_t keys_flush_ms;
	uint32_t keys_window_s;
	uint32_t keys_max_keys;
	uint32_t placement_interval_ms;
	uint32_t placement_lease_ms;
	uint32_t upstream_threads;
	uint32_t upstream_report_ms;
	uint32_t upstream_max_answer_bytes;
	uint32_t upstream_answer_memory_bytes;
	char gate_listen[64];
	char gate_resolve[64];
	char gate_readiness[64];
	uint32_t gate_relay_port;
	uint32_t gate_share_port;
	uint32_t gate_grace_ms;
	uint32_t gate_budget_window_ms;
	uint32_t gate_budget_ratio_permille;
	uint32_t gate_budget_allowance;
	uint32_t gate_prefill_tokens_per_s;
	uint32_t gate_step_us;
	bool gate_account_shares;
	bool gate_expect_returns;
	uint32_t gate_memory_bytes;
	uint32_t gate_descriptors;
	uint32_t gate_max_connections;
	uint32_t gate_max_local_connections;
	uint32_t gate_socket_buffer_bytes;
	char duty_address[64];
	char duty_kinds[4][16];
	uint32_t n_duty_kinds;
	uint32_t duty_lease_ms;
	uint32_t duty_window_ms;
	uint32_t duty_calls_per_s;
	uint32_t policy_max_queued;
	char log_level[8];
	uint32_t log_lines_per_s;
	char log_format[8];
} bct_settings_t;

extern const bct_setting_desc_t bct_settings_table[];
#define BCT_SETTINGS_COUNT 65

#endif
