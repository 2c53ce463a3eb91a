//! wisteriapin: a request scheduler for unlike engines. `docs/design.md` is the design.

mod baseline;
mod caller_server;
mod canonical_json;
mod choice;
pub mod claim;
mod claim_append;
mod claim_coverage;
mod claim_entry;
mod claim_ledger;
mod claim_queue;
mod claim_record;
pub mod cli;
pub mod config_change;
pub mod config_document;
mod config_index;
mod config_rollouts;
mod config_schema;
mod config_snapshot;
pub mod config_state;
mod config_validation;
pub mod configs;
pub mod context;
pub mod daemon;
pub mod discovery;
pub mod drain;
mod effect_desk;
pub mod electorate;
mod endpoint_client;
mod endpoint_poll;
mod endpoint_state;
mod event_queue;
mod events;
pub mod explain;
mod fairness;
pub mod generated;
mod host_list;
pub mod host_listing;
pub mod ids;
mod key_memory;
mod learned;
pub mod lease;
mod log_client;
mod log_progress;
mod lookup;
mod member_slot;
mod member_tick;
mod member_view;
pub mod membership;
pub mod message_codec;
pub mod messages;
mod metrics;
mod operator;
pub mod operator_client;
mod operator_convert;
pub mod operator_server;
mod operator_service;
pub mod operator_types;
pub mod peer_link;
pub mod pool;
mod pool_grant;
mod pool_home;
mod pool_queue;
mod pool_report;
pub mod pool_summary;
mod pool_sync;
mod prefix;
mod prefix_memory;
pub mod progress;
pub mod ranking;
mod reduce_caller;
mod reduce_listing;
mod reduce_log;
mod reduce_operator;
mod reduce_peer;
mod reduce_pool;
mod reduce_zone;
mod reducer;
mod remote_stream;
mod request;
mod request_run;
mod request_tick;
pub mod result_code;
mod retry_budget;
pub mod rollout;
pub mod settings;
mod slow_start;
mod snapshot_parts;
pub mod start_sync;
mod state;
mod status;
mod stream_buffer;
mod stream_hub;
mod suspect;
mod traffic;
mod work_entry;
pub mod zone;
mod zone_moves;

#[cfg(test)]
mod bounds_tests;
#[cfg(test)]
mod canonical_json_tests;
#[cfg(test)]
mod decoder_tests;
#[cfg(test)]
mod discovery_tests;
#[cfg(test)]
mod event_queue_tests;
#[cfg(test)]
mod host_listing_tests;
#[cfg(test)]
mod key_memory_tests;
#[cfg(test)]
mod lookup_tests;
#[cfg(test)]
mod member_property_tests;
#[cfg(test)]
mod member_simulation;
#[cfg(test)]
mod membership_tests;
#[cfg(test)]
mod message_codec_tests;
#[cfg(test)]
mod peer_link_tests;
#[cfg(test)]
mod reduce_log_tests;
#[cfg(test)]
mod request_tests;
#[cfg(test)]
mod snapshot_parts_tests;
#[cfg(test)]
mod stream_buffer_tests;
#[cfg(test)]
mod stream_hub_tests;
