//! Code that `cargo run -p schema-gen` writes from `proto/`, and the JSON form of its enums.

use serde::Serializer;

#[allow(clippy::pedantic, missing_docs)]
pub mod operator;

macro_rules! enum_writers {
    ($($writer:ident, $name:ident: $kind:ty, $prefix:literal;)*) => {
        $(
            /// Short name of a value, such as `taken_back`.
            #[must_use]
            pub fn $name(value: i32) -> String {
                let name = <$kind>::try_from(value).unwrap_or_default().as_str_name();
                name.trim_start_matches($prefix).to_ascii_lowercase()
            }

            // serde passes the field by reference.
            #[allow(clippy::trivially_copy_pass_by_ref)]
            fn $writer<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&$name(*value))
            }
        )*
    };
}

enum_writers! {
    write_zone_state, zone_state_name: operator::ZoneState, "ZONE_STATE_";
    write_host_state, host_state_name: operator::HostState, "HOST_STATE_";
    write_endpoint_state, endpoint_state_name: operator::EndpointState, "ENDPOINT_STATE_";
    write_rollout_verdict, rollout_verdict_name: operator::RolloutVerdict, "ROLLOUT_VERDICT_";
}
