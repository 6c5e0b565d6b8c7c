/*
 * event_list.h - table of all log events; include event.h instead.
 *
 * DEF(name, number, level, text)
 */
#ifndef BCT_BASE_EVENT_LIST_H
#define BCT_BASE_EVENT_LIST_H

#define BCT_EVENT_LIST(DEF)                                                                        \
	DEF(NODE_START, 100, INFO, "the node started")                                             \
	DEF(NODE_STOPPING, 101, INFO,                                                              \
	    "a graceful stop began: the node leaves the address list and finishes")                \
	DEF(NODE_STOPPED, 102, INFO, "the node stopped")                                           \
	DEF(SETTINGS_BAD, 103, ERROR, "the settings are invalid")                                  \
	DEF(SETTINGS_KEPT, 104, WARN,                                                              \
	    "the settings could not be reloaded; the previous ones stay in force")                 \
	DEF(SETTINGS_RELOADED, 105, INFO,                                                          \
	    "the settings were reloaded; only the log level and the seeds can change")             \
	DEF(LISTEN_FAILED, 106, ERROR, "an address cannot be listened on")                         \
	DEF(LOG_DROPPED, 107, WARN, "log lines were dropped because their reader was too slow")    \
	DEF(LOG_LIMITED, 108, INFO, "log lines of one event exceeded its rate limit")              \
	DEF(ACCEPT_FAILED, 110, WARN, "connections could not be accepted for a moment")            \
	DEF(NODE_RESUMED, 109, WARN,                                                               \
	    "the process had not run for a while; it does without its parts of limits at first")   \
	DEF(CONFIG_ADOPTED, 200, INFO, "a configuration revision is in force on this node")        \
	DEF(CONFIG_REJECTED, 201, WARN, "a published configuration change was rejected")           \
	DEF(CONFIG_DIVERGED, 202, ERROR,                                                           \
	    "the configuration digest differs from the log's or a peer's")                         \
	DEF(CONFIG_BAD_RECORD, 203, ERROR, "a configuration record could not be decoded")          \
	DEF(CONFIG_SNAPSHOT, 204, INFO, "a configuration snapshot was written")                    \
	DEF(CONFIG_FROM_PEER, 205, INFO, "a configuration revision was received from a peer")      \
	DEF(CONFIG_NONE, 206, WARN, "no configuration is available yet; callers are refused")      \
	DEF(ROUTES_ADOPTED, 210, INFO, "a routing table is in force on this gateway")              \
	DEF(ROUTES_REFUSED, 211, WARN, "a routing table was rejected")                             \
	DEF(SCALING_REFUSED, 212, WARN, "a service is not scaled: its configuration is invalid")   \
	DEF(MEMBER_ALIVE, 300, INFO, "a VM joined, or refuted a suspicion or a death")             \
	DEF(MEMBER_SUSPECT, 301, WARN, "a VM does not answer probes")                              \
	DEF(MEMBER_DEAD, 302, WARN, "a VM was declared dead")                                      \
	DEF(MEMBER_LEAVING, 303, INFO, "a VM is leaving")                                          \
	DEF(PEER_AUTH_FAILED, 304, WARN, "a peer's datagram was refused")                          \
	DEF(MEMBERS_ALIVE, 306, INFO, "several VMs joined, or refuted a suspicion or a death")     \
	DEF(HUB_CHANGED, 305, INFO, "the hub that receives this node's load reports changed")      \
	DEF(REQUEST_ENDED, 400, DEBUG, "a request ended")                                          \
	DEF(REQUEST_BAD, 401, DEBUG, "a request was refused as malformed")                         \
	DEF(CONNECTION_REAPED, 402, DEBUG,                                                         \
	    "a connection was closed because the caller was too slow")                             \
	DEF(GATE_REQUEST_ENDED, 410, INFO, "a gateway completed a request")                        \
	DEF(GATE_REQUEST_FAILED, 413, INFO,                                                        \
	    "a gateway's request ended without a successful answer")                               \
	DEF(GATE_REQUEST_BAD, 411, INFO,                                                           \
	    "a gateway refused a malformed, oversized or slow request")                            \
	DEF(GATE_ATTEMPT_FAILED, 412, INFO, "an attempt at an upstream failed")                    \
	DEF(GATE_REQUEST_POISON, 414, WARN,                                                        \
	    "a request broke connections to several upstreams and is refused")                     \
	DEF(GATE_CRASH, 415, INFO,                                                                 \
	    "an upstream's connection broke while it ran a request, which may be the cause")       \
	DEF(GATE_CRASH_REPORTED, 416, INFO, "a peer saw an upstream break under a request")        \
	DEF(GATE_CRASH_CLEARED, 417, INFO,                                                         \
	    "a request on record for broken upstreams was answered successfully")                  \
	DEF(GATE_PART_SUSPECTED, 418, INFO,                                                        \
	    "an upstream broke under a request whose prompt has parts that others share")          \
	DEF(GATE_PART_REFUSED, 419, WARN,                                                          \
	    "requests with a part of prompts that crashes upstreams are refused")                  \
	DEF(GATE_PART_RELEASED, 420, INFO,                                                         \
	    "a part of prompts did no harm and is not refused any more")                           \
	DEF(GATE_CRASH_TRIAL, 422, INFO,                                                           \
	    "a refused request is let through to find out whether it does harm")                   \
	DEF(GATE_PART_TRIAL, 421, INFO,                                                            \
	    "a request with a refused part is let through to find out whether it does harm")       \
	DEF(GATE_STREAM_CONTINUED, 423, INFO,                                                      \
	    "a stream that began elsewhere was sent to another upstream, to go on there")          \
	DEF(GATE_ORIGIN, 424, INFO, "what began a stream that a caller takes up, and who knew it") \
	DEF(REACH_LOST, 425, WARN, "this node reaches no upstream of a service")                   \
	DEF(GATE_RELAYED, 427, INFO,                                                               \
	    "a request was sent through another node, as no upstream is reached from here")        \
	DEF(GATE_MEMORY, 428, INFO,                                                                \
	    "what a gateway buffers for slow callers and upstreams reached or left a step")        \
	DEF(GATE_UNREAD_CUT, 429, WARN,                                                            \
	    "an answer was cut to free memory, as its caller did not read it")                     \
	DEF(BODIES_REFUSED, 111, WARN,                                                             \
	    "requests were refused, as there was no room for their bodies")                        \
	DEF(ANSWERS_REFUSED, 113, WARN,                                                            \
	    "answers were given up, as there was no room to keep them until they were whole")      \
	DEF(CONNECTIONS_LIMIT, 112, WARN,                                                          \
	    "connections ended for new ones, or new ones were refused, at the limit")              \
	DEF(GATE_AHEAD_CUT, 430, WARN,                                                             \
	    "a connection on which requests were sent ahead was ended to free memory")             \
	DEF(GATE_CONNECTIONS, 431, WARN,                                                           \
	    "connections ended for new ones, or new ones were refused, at the limit")              \
	DEF(REACH_BACK, 426, INFO, "this node reaches upstreams of a service again")               \
	DEF(UPSTREAM_FAILED, 500, WARN, "an attempt at an upstream failed")                        \
	DEF(UPSTREAM_LEAVING, 501, INFO, "an upstream is leaving and gets no new work")            \
	DEF(UPSTREAM_CROSSED, 502, ERROR,                                                          \
	    "an answer with the id of another attempt was discarded")                              \
	DEF(UPSTREAM_STRAGGLER, 503, WARN, "an upstream makes less progress than expected")        \
	DEF(UPSTREAM_PRESENCE, 510, INFO,                                                          \
	    "an upstream's presence changed: it came, drains, lapsed or left")                     \
	DEF(UPSTREAMS_READY, 514, INFO, "several upstreams became ready at about the same time")   \
	DEF(UPSTREAM_LIMIT, 511, INFO,                                                             \
	    "an upstream named the request rate that it accepts, or named none any more")          \
	DEF(UPSTREAM_PAUSED, 513, INFO, "an upstream asked this node to send nothing for a while") \
	DEF(UPSTREAM_BRITTLE, 515, INFO,                                                           \
	    "an upstream states how many requests it bears to turn away, or states it no more")    \
	DEF(UPSTREAM_TURNED_AWAY, 516, INFO,                                                       \
	    "a brittle upstream had no room for a request; nothing is sent there for a second")    \
	DEF(UPSTREAM_NOTICE_BAD, 512, WARN,                                                        \
	    "what an upstream states about itself could not be read")                              \
	DEF(LOG_DOWN, 600, WARN, "the platform's log cannot be reached")                           \
	DEF(LOG_UP, 601, INFO, "the platform's log can be reached again")                          \
	DEF(LOG_GAP, 602, ERROR, "records expired before this node read them")                     \
	DEF(VMS_UNREADABLE, 603, WARN, "entries of the VM list can't be read and are left out")    \
	DEF(REGISTRY_DOWN, 610, WARN, "the registry does not answer")                              \
	DEF(REGISTRY_UP, 611, INFO, "the registry answers")                                        \
	DEF(REGISTRY_UNREADABLE, 612, WARN, "a registry record can't be used; the others are")     \
	DEF(REGISTRY_ERA, 615, WARN,                                                               \
	    "the registry states a higher era: it came back from a copy, or is new here")          \
	DEF(REGISTRY_ERA_BAD, 616, WARN, "the registry states an era that cannot be read")         \
	DEF(REGISTRY_BEHIND, 617, INFO,                                                            \
	    "more changes of the registry lie behind than one answer holds; it is listed")         \
	DEF(PULL_FAILED, 613, WARN, "routes or upstreams could not be pulled from a peer")         \
	DEF(PULLED, 614, INFO, "routes or upstreams were pulled from a peer")                      \
	DEF(KEY_IN_DOUBT, 700, WARN, "an idempotency key has an intent but no outcome")            \
	DEF(KEY_WITHDRAWN, 701, INFO, "an intent was withdrawn: its request did not run")          \
	DEF(KEY_RESOLVED, 702, INFO, "an operator resolved a key in doubt")                        \
	DEF(KEY_FENCED, 703, WARN,                                                                 \
	    "not dispatched: the node resumed from suspension past the deadline")                  \
	DEF(KEYS_NO_ROOM, 705, WARN,                                                               \
	    "requests with new keys are refused, as as many keys as allowed are remembered")       \
	DEF(KEYS_UNWRITTEN, 704, ERROR, "the node stops before the log confirmed all outcomes")    \
	DEF(LEASE_ACQUIRED, 800, INFO, "this node acquired a lease")                               \
	DEF(LEASE_LOST, 801, WARN, "this node lost a lease")                                       \
	DEF(ORDER_SENT, 802, INFO, "an order was sent to an engine")                               \
	DEF(ORDER_FAILED, 803, WARN, "an order to an engine failed")                               \
	DEF(USAGE_KEEPERS, 820, INFO, "the nodes that add up the usage of all nodes changed")      \
	DEF(TRUE_TIME_CORRECTED, 821, WARN,                                                        \
	    "this node's time of day differed from that of its peers and was set to theirs")       \
	DEF(DUTY_ACQUIRED, 810, INFO, "this node does the duties of the fleet from now on")        \
	DEF(DUTY_LOST, 811, WARN, "this node does the duties of the fleet no longer")              \
	DEF(DUTY_REFUSED, 812, WARN, "the control API has seen a higher fencing token")            \
	DEF(DUTY_CUT_OFF, 813, WARN, "the control API is not reached; the duties are released")    \
	DEF(DUTY_STORE_DOWN, 814, WARN, "the record of the duties cannot be read or written")      \
	DEF(DUTY_STORE_UP, 815, INFO, "the record of the duties can be read or written again")     \
	DEF(DUTY_RECORD_BAD, 816, ERROR, "a record of the duties could not be decoded or encoded") \
	DEF(DUTY_REPORT, 817, INFO, "the usage of a window was reported")                          \
	DEF(DUTY_REPORT_FAILED, 818, WARN, "a report of usage was not accepted; it is repeated")   \
	DEF(DUTY_REPORT_LOST, 819, ERROR, "the usage of windows was given up, being too old")      \
	DEF(DUTY_ORDER, 823, INFO, "engines were ordered")                                         \
	DEF(DUTY_ORDER_FAILED, 824, WARN, "an order of engines was not accepted")                  \
	DEF(DUTY_SCALING_BAD, 825, WARN, "a service cannot be scaled")                             \
	DEF(SHED_LEVEL, 900, WARN, "the shed level changed")                                       \
	DEF(POISON_SUSPECT, 901, WARN, "a request was running on an upstream that crashed")        \
	DEF(POISON_REFUSED, 902, WARN, "a request is refused because it crashed two upstreams")    \
	DEF(RETRY_BUDGET, 903, WARN, "the retry budget is spent")

#endif
