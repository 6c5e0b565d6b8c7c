/*
 * settings.c - generated from schema/settings.json; do not edit.
 */
#include "gen/settings.h"

const bct_setting_desc_t bct_settings_table[] = {
	{ "vm.name", BCT_SETTING_STRING, offsetof(bct_settings_t, vm_name), 0, 48, 0, 0U, true, NULL },
	{ "vm.failure_domain", BCT_SETTING_STRING, offsetof(bct_settings_t, vm_failure_domain), 0, 48, 0, 0U, true, NULL },
	{ "vm.region", BCT_SETTING_STRING, offsetof(bct_settings_t, vm_region), 0, 48, 0, 0U, true, NULL },
	{ "caller.address", BCT_SETTING_STRING, offsetof(bct_settings_t, caller_address), 0, 48, 0, 0U, true, NULL },
	{ "caller.port", BCT_SETTING_U32, offsetof(bct_settings_t, caller_port), 0, 0, 0, 65535U, false, "8080" },
	{ "caller.threads", BCT_SETTING_U32, offsetof(bct_settings_t, caller_threads), 0, 0, 1, 64U, false, "2" },
	{ "caller.max_connections", BCT_SETTING_U32, offsetof(bct_settings_t, caller_max_connections), 0, 0, 16, 200000U, false, "8192" },
	{ "caller.max_header_bytes", BCT_SETTING_U32, offsetof(bct_settings_t, caller_max_header_bytes), 0, 0, 2048, 1048576U, false, "16384" },
	{ "caller.max_body_bytes", BCT_SETTING_U32, offsetof(bct_settings_t, caller_max_body_bytes), 0, 0, 1024, 67108864U, false, "4194304" },
	{ "caller.receive_timeout_ms", BCT_SETTING_U32, offsetof(bct_settings_t, caller_receive_timeout_ms), 0, 0, 100, 600000U, false, "10000" },
	{ "caller.write_timeout_ms", BCT_SETTING_U32, offsetof(bct_settings_t, caller_write_timeout_ms), 0, 0, 1000, 3600000U, false, "60000" },
	{ "caller.stream_buffer_bytes", BCT_SETTING_U32, offsetof(bct_settings_t, caller_stream_buffer_bytes), 0, 0, 1024, 1048576U, false, "32768" },
	{ "caller.entry_lifetime_ms", BCT_SETTING_U32, offsetof(bct_settings_t, caller_entry_lifetime_ms), 0, 0, 100, 3600000U, false, "15000" },
	{ "admin.address", BCT_SETTING_STRING, offsetof(bct_settings_t, admin_address), 0, 48, 0, 0U, false, "127.0.0.1" },
	{ "admin.port", BCT_SETTING_U32, offsetof(bct_settings_t, admin_port), 0, 0, 0, 65535U, false, "8081" },
	{ "admin.token_hash", BCT_SETTING_STRING, offsetof(bct_settings_t, admin_token_hash), 0, 65, 0, 0U, false, "" },
	{ "peer.address", BCT_SETTING_STRING, offsetof(bct_settings_t, peer_address), 0, 48, 0, 0U, false, "127.0.0.1" },
	{ "peer.port", BCT_SETTING_U32, offsetof(bct_settings_t, peer_port), 0, 0, 0, 65535U, false, "8082" },
	{ "peer.secret", BCT_SETTING_STRING, offsetof(bct_settings_t, peer_secret), 0, 129, 0, 0U, false, "" },
	{ "peer.seeds", BCT_SETTING_LIST, offsetof(bct_settings_t, peer_seeds), offsetof(bct_settings_t, n_peer_seeds), 64, 0, 64U, false, NULL },
	{ "platform.url", BCT_SETTING_STRING, offsetof(bct_settings_t, platform_url), 0, 256, 0, 0U, false, "" },
	{ "platform.timeout_ms", BCT_SETTING_U32, offsetof(bct_settings_t, platform_timeout_ms), 0, 0, 50, 60000U, false, "2000" },
	{ "platform.poll_ms", BCT_SETTING_U32, offsetof(bct_settings_t, platform_poll_ms), 0, 0, 10, 60000U, false, "1000" },
	{ "platform.config_file", BCT_SETTING_STRING, offsetof(bct_settings_t, platform_config_file), 0, 256, 0, 0U, false, "" },
	{ "platform.key_streams", BCT_SETTING_U32, offsetof(bct_settings_t, platform_key_streams), 0, 0, 1, 4096U, false, "16" },
	{ "upstream.threads", BCT_SETTING_U32, offsetof(bct_settings_t, upstream_threads), 0, 0, 1, 64U, false, "2" },
	{ "upstream.report_ms", BCT_SETTING_U32, offsetof(bct_settings_t, upstream_report_ms), 0, 0, 50, 60000U, false, "500" },
	{ "upstream.max_answer_bytes", BCT_SETTING_U32, offsetof(bct_settings_t, upstream_max_answer_bytes), 0, 0, 1024, 268435456U, false, "8388608" },
	{ "policy.max_queued", BCT_SETTING_U32, offsetof(bct_settings_t, policy_max_queued), 0, 0, 16, 1000000U, false, "10000" },
	{ "log.level", BCT_SETTING_STRING, offsetof(bct_settings_t, log_level), 0, 8, 0, 0U, false, "info" },
	{ "log.format", BCT_SETTING_STRING, offsetof(bct_settings_t, log_format), 0, 8, 0, 0U, false, "text" },
};
