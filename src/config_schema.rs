//! Finds the path of the first fault in a configuration document that the typed parser refused.

use std::ops::RangeInclusive;

use compact_str::format_compact;
use serde_json::{Map, Value};

use crate::config_document::ConfigError;
use crate::config_validation::{DEADLINES_MS, MAX_QUEUED, TIER_NUMBERS, WEIGHTS};

/// What one field of a document may hold.
enum FieldType {
    Number(RangeInclusive<u64>),
    Text,
    Digest,
    Choice(&'static [&'static str]),
    Texts,
    Entries(&'static [FieldSchema]),
}

struct FieldSchema {
    name: &'static str,
    required: bool,
    form: FieldType,
}

const fn required(name: &'static str, form: FieldType) -> FieldSchema {
    FieldSchema {
        name,
        required: true,
        form,
    }
}

const fn optional(name: &'static str, form: FieldType) -> FieldSchema {
    FieldSchema {
        name,
        required: false,
        form,
    }
}

static TIER_RULES: [FieldSchema; 3] = [
    required("tier", FieldType::Number(TIER_NUMBERS)),
    required("name", FieldType::Text),
    required("default_deadline_ms", FieldType::Number(DEADLINES_MS)),
];
static ZONE_RULES: [FieldSchema; 3] = [
    required("name", FieldType::Text),
    required("region", FieldType::Text),
    required("state", FieldType::Choice(&["in", "out"])),
];
static POOL_RULES: [FieldSchema; 4] = [
    required("name", FieldType::Text),
    required("kind", FieldType::Choice(&["engine", "service"])),
    required("version", FieldType::Text),
    optional("non_idempotent", FieldType::Texts),
];
static WORKSPACE_RULES: [FieldSchema; 4] = [
    required("name", FieldType::Text),
    required("token_sha256", FieldType::Digest),
    optional("weight", FieldType::Number(WEIGHTS)),
    optional("max_queued", FieldType::Number(MAX_QUEUED)),
];
static OPERATOR_RULES: [FieldSchema; 2] = [
    required("name", FieldType::Text),
    required("token_sha256", FieldType::Digest),
];
static DOCUMENT_RULES: [FieldSchema; 6] = [
    required("schema", FieldType::Number(1..=1)),
    optional("tiers", FieldType::Entries(&TIER_RULES)),
    optional("zones", FieldType::Entries(&ZONE_RULES)),
    optional("pools", FieldType::Entries(&POOL_RULES)),
    optional("workspaces", FieldType::Entries(&WORKSPACE_RULES)),
    optional("operators", FieldType::Entries(&OPERATOR_RULES)),
];

/// Returns the first fault of form in a document; `prefix` starts its path.
pub(crate) fn find_schema_error(document: &Value, prefix: &str) -> Option<ConfigError> {
    let Value::Object(fields) = document else {
        return Some(ConfigError::invalid(
            format_compact!("{prefix}document"),
            "must be a JSON object",
        ));
    };
    find_object_error(fields, &DOCUMENT_RULES, prefix)
}

fn find_object_error(
    fields: &Map<String, Value>,
    rules: &[FieldSchema],
    prefix: &str,
) -> Option<ConfigError> {
    let names = || {
        rules
            .iter()
            .map(|rule| rule.name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    if let Some(name) = fields
        .keys()
        .find(|name| rules.iter().all(|rule| rule.name != name.as_str()))
    {
        return Some(ConfigError::invalid(
            format_compact!("{prefix}{name}"),
            format_compact!("unknown field; allowed are {}", names()),
        ));
    }
    rules.iter().find_map(|rule| {
        let path = format_compact!("{prefix}{}", rule.name);
        match fields.get(rule.name) {
            Some(value) => find_value_error(value, &rule.form, &path),
            None if rule.required => Some(ConfigError::invalid(
                path,
                format_compact!("missing; must be {}", describe_type(&rule.form)),
            )),
            None => None,
        }
    })
}

fn find_value_error(value: &Value, form: &FieldType, path: &str) -> Option<ConfigError> {
    let valid = match (form, value) {
        (FieldType::Number(range), Value::Number(number)) => number
            .as_u64()
            .is_some_and(|number| range.contains(&number)),
        (FieldType::Text, Value::String(_)) => true,
        (FieldType::Digest, Value::String(text)) => {
            text.len() == 64 && text.bytes().all(|byte| b"0123456789abcdef".contains(&byte))
        }
        (FieldType::Choice(choices), Value::String(text)) => choices.contains(&text.as_str()),
        (FieldType::Texts, Value::Array(texts)) => {
            return texts.iter().enumerate().find_map(|(index, text)| {
                find_value_error(text, &FieldType::Text, &format_compact!("{path}[{index}]"))
            });
        }
        (FieldType::Entries(rules), Value::Array(entries)) => {
            return entries
                .iter()
                .enumerate()
                .find_map(|(index, entry)| match entry {
                    Value::Object(fields) => {
                        find_object_error(fields, rules, &format_compact!("{path}[{index}]."))
                    }
                    _ => Some(ConfigError::invalid(
                        format_compact!("{path}[{index}]"),
                        "must be a JSON object",
                    )),
                });
        }
        _ => false,
    };
    (!valid).then(|| ConfigError::invalid(path, format_compact!("must be {}", describe_type(form))))
}

fn describe_type(form: &FieldType) -> String {
    match form {
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
        FieldType::Texts => "a list of texts".to_owned(),
        FieldType::Entries(_) => "a list of objects".to_owned(),
    }
}
