//! Schema check of a configuration document that the typed parser rejected. It finds the path of
//! the first invalid field.

use std::ops::RangeInclusive;

use compact_str::format_compact;
use serde_json::{Map, Value};

use crate::config_document::ConfigError;
use crate::config_validation::{DEADLINES_MS, MAX_QUEUED, TIER_NUMBERS, WEIGHTS};

/// Type and allowed values of one field of a document.
enum FieldType {
    Number(RangeInclusive<u64>),
    Text,
    Digest,
    Choice(&'static [&'static str]),
    TextList,
    ObjectList(&'static [FieldSchema]),
}

struct FieldSchema {
    name: &'static str,
    required: bool,
    field_type: FieldType,
}

const fn required(name: &'static str, field_type: FieldType) -> FieldSchema {
    FieldSchema {
        name,
        required: true,
        field_type,
    }
}

const fn optional(name: &'static str, field_type: FieldType) -> FieldSchema {
    FieldSchema {
        name,
        required: false,
        field_type,
    }
}

static TIER_SCHEMA: [FieldSchema; 3] = [
    required("tier", FieldType::Number(TIER_NUMBERS)),
    required("name", FieldType::Text),
    required("default_deadline_ms", FieldType::Number(DEADLINES_MS)),
];
static ZONE_SCHEMA: [FieldSchema; 3] = [
    required("name", FieldType::Text),
    required("region", FieldType::Text),
    required("state", FieldType::Choice(&["in", "out"])),
];
static POOL_SCHEMA: [FieldSchema; 4] = [
    required("name", FieldType::Text),
    required("kind", FieldType::Choice(&["engine", "service"])),
    required("version", FieldType::Text),
    optional("non_idempotent", FieldType::TextList),
];
static WORKSPACE_SCHEMA: [FieldSchema; 4] = [
    required("name", FieldType::Text),
    required("token_sha256", FieldType::Digest),
    optional("weight", FieldType::Number(WEIGHTS)),
    optional("max_queued", FieldType::Number(MAX_QUEUED)),
];
static OPERATOR_SCHEMA: [FieldSchema; 2] = [
    required("name", FieldType::Text),
    required("token_sha256", FieldType::Digest),
];
static DOCUMENT_SCHEMA: [FieldSchema; 6] = [
    required("schema", FieldType::Number(1..=1)),
    optional("tiers", FieldType::ObjectList(&TIER_SCHEMA)),
    optional("zones", FieldType::ObjectList(&ZONE_SCHEMA)),
    optional("pools", FieldType::ObjectList(&POOL_SCHEMA)),
    optional("workspaces", FieldType::ObjectList(&WORKSPACE_SCHEMA)),
    optional("operators", FieldType::ObjectList(&OPERATOR_SCHEMA)),
];

/// Returns the first schema error in a document. The path in the error starts with `prefix`.
pub(crate) fn find_schema_error(document: &Value, prefix: &str) -> Option<ConfigError> {
    let Value::Object(fields) = document else {
        return Some(ConfigError::invalid(
            format_compact!("{prefix}document"),
            "must be a JSON object",
        ));
    };
    find_object_error(fields, &DOCUMENT_SCHEMA, prefix)
}

fn find_object_error(
    fields: &Map<String, Value>,
    schema: &[FieldSchema],
    prefix: &str,
) -> Option<ConfigError> {
    let names = || {
        schema
            .iter()
            .map(|field| field.name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    if let Some(name) = fields
        .keys()
        .find(|name| schema.iter().all(|field| field.name != name.as_str()))
    {
        return Some(ConfigError::invalid(
            format_compact!("{prefix}{name}"),
            format_compact!("unknown field; allowed are {}", names()),
        ));
    }
    schema.iter().find_map(|field| {
        let path = format_compact!("{prefix}{}", field.name);
        match fields.get(field.name) {
            Some(value) => find_value_error(value, &field.field_type, &path),
            None if field.required => Some(ConfigError::invalid(
                path,
                format_compact!("missing; must be {}", describe_type(&field.field_type)),
            )),
            None => None,
        }
    })
}

fn find_value_error(value: &Value, field_type: &FieldType, path: &str) -> Option<ConfigError> {
    let valid = match (field_type, value) {
        (FieldType::Number(range), Value::Number(number)) => number
            .as_u64()
            .is_some_and(|number| range.contains(&number)),
        (FieldType::Text, Value::String(_)) => true,
        (FieldType::Digest, Value::String(text)) => {
            text.len() == 64 && text.bytes().all(|byte| b"0123456789abcdef".contains(&byte))
        }
        (FieldType::Choice(choices), Value::String(text)) => choices.contains(&text.as_str()),
        (FieldType::TextList, Value::Array(texts)) => {
            return texts.iter().enumerate().find_map(|(index, text)| {
                find_value_error(text, &FieldType::Text, &format_compact!("{path}[{index}]"))
            });
        }
        (FieldType::ObjectList(schema), Value::Array(entries)) => {
            return entries
                .iter()
                .enumerate()
                .find_map(|(index, entry)| match entry {
                    Value::Object(fields) => {
                        find_object_error(fields, schema, &format_compact!("{path}[{index}]."))
                    }
                    _ => Some(ConfigError::invalid(
                        format_compact!("{path}[{index}]"),
                        "must be a JSON object",
                    )),
                });
        }
        _ => false,
    };
    (!valid).then(|| {
        ConfigError::invalid(
            path,
            format_compact!("must be {}", describe_type(field_type)),
        )
    })
}

fn describe_type(field_type: &FieldType) -> String {
    match field_type {
        FieldType::Number(range) if range.start() == range.end() => range.start().to_string(),
        FieldType::Number(range) => {
            format!("a whole number from {} to {}", range.start(), range.end())
        }
        FieldType::Text => "text".to_owned(),
        FieldType::Digest => "64 lower-case hexadecimal digits (SHA-256 of the token)".to_owned(),
        FieldType::Choice(choices) => {
            let quoted: Vec<String> = choices
                .iter()
                .map(|choice| format!("\"{choice}\""))
                .collect();
            quoted.join(" or ")
        }
        FieldType::TextList => "a list of texts".to_owned(),
        FieldType::ObjectList(_) => "a list of objects".to_owned(),
    }
}
