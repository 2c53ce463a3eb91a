//! Limits of the configuration document, and checks of its values and their uniqueness.

use std::ops::RangeInclusive;

use compact_str::format_compact;

use crate::config_document::{
    ConfigDocument, ConfigError, PoolEntry, SCHEMA_NUMBER, TierEntry, ZoneEntry,
};
use crate::ids::{FastSet, PoolKind};

pub(crate) const TIER_NUMBERS: RangeInclusive<u64> = 0..=15;
/// At most one day: with a longer deadline, a request could stay queued past the next review of the
/// configuration.
pub(crate) const DEADLINES_MS: RangeInclusive<u64> = 1..=86_400_000;
pub(crate) const WEIGHTS: RangeInclusive<u64> = 1..=1_000;
pub(crate) const MAX_QUEUED: RangeInclusive<u64> = 1..=100_000;
const MAX_NAME_BYTES: usize = 64;
const MAX_ZONES: usize = 1_000;
const MAX_POOLS: usize = 1_000;
const MAX_OPERATORS: usize = 10_000;
/// Two and a half times the target of 40,000. The limit prevents one document from exhausting a
/// host's memory.
const MAX_WORKSPACES: usize = 100_000;
const MAX_OPERATIONS: usize = 100;

/// Checks values, limits and uniqueness in a document. Each path in an error starts with `prefix`.
pub(crate) fn validate_document(
    document: &ConfigDocument,
    prefix: &str,
) -> Result<(), ConfigError> {
    if document.schema != SCHEMA_NUMBER {
        return Err(ConfigError::invalid(
            format_compact!("{prefix}schema"),
            "only 1 is allowed",
        ));
    }
    validate_tiers(&document.tiers, prefix)?;
    validate_zones(&document.zones, prefix)?;
    validate_pools(&document.pools, prefix)?;
    validate_token_owners(document, prefix)
}

pub(crate) fn validate_tiers(tiers: &[TierEntry], prefix: &str) -> Result<(), ConfigError> {
    let mut numbers = FastSet::default();
    let mut names = UniqueNames::new(prefix, "tiers", tiers.len(), 16)?;
    for (index, entry) in tiers.iter().enumerate() {
        let at = format_compact!("{prefix}tiers[{index}]");
        check_range(&at, "tier", u64::from(entry.tier), &TIER_NUMBERS)?;
        check_range(
            &at,
            "default_deadline_ms",
            entry.default_deadline_ms,
            &DEADLINES_MS,
        )?;
        if !numbers.insert(entry.tier) {
            return Err(ConfigError::invalid(
                format_compact!("{at}.tier"),
                format_compact!(
                    "tier {} appears twice; each number is allowed once",
                    entry.tier
                ),
            ));
        }
        names.add(index, &entry.name)?;
    }
    Ok(())
}

fn validate_zones(zones: &[ZoneEntry], prefix: &str) -> Result<(), ConfigError> {
    let mut names = UniqueNames::new(prefix, "zones", zones.len(), MAX_ZONES)?;
    for (index, entry) in zones.iter().enumerate() {
        names.add(index, &entry.name)?;
        check_name(
            &format_compact!("{prefix}zones[{index}].region"),
            &entry.region,
        )?;
    }
    Ok(())
}

fn validate_pools(pools: &[PoolEntry], prefix: &str) -> Result<(), ConfigError> {
    let mut names = UniqueNames::new(prefix, "pools", pools.len(), MAX_POOLS)?;
    for (index, entry) in pools.iter().enumerate() {
        names.add(index, &entry.name)?;
        let at = format_compact!("{prefix}pools[{index}]");
        check_name(&format_compact!("{at}.version"), &entry.version)?;
        if entry.kind == PoolKind::Engine && !entry.non_idempotent.is_empty() {
            return Err(ConfigError::invalid(
                format_compact!("{at}.non_idempotent"),
                "only allowed for pools of kind \"service\"",
            ));
        }
        let at = format_compact!("{at}.");
        let count = entry.non_idempotent.len();
        let mut operations = UniqueNames::new(&at, "non_idempotent", count, MAX_OPERATIONS)?;
        operations.suffix = "";
        for (position, operation) in entry.non_idempotent.iter().enumerate() {
            operations.add(position, operation)?;
        }
    }
    Ok(())
}

/// Checks workspaces and operators. A token must identify exactly one of them.
fn validate_token_owners(document: &ConfigDocument, prefix: &str) -> Result<(), ConfigError> {
    let mut tokens = FastSet::default();
    let mut names = UniqueNames::new(
        prefix,
        "workspaces",
        document.workspaces.len(),
        MAX_WORKSPACES,
    )?;
    for (index, entry) in document.workspaces.iter().enumerate() {
        names.add(index, &entry.name)?;
        let weight = u64::from(entry.weight);
        let max_queued = u64::from(entry.max_queued);
        if WEIGHTS.contains(&weight)
            && MAX_QUEUED.contains(&max_queued)
            && tokens.insert(entry.token_sha256)
        {
            continue;
        }
        // Paths are formatted only for invalid entries: there may be tens of thousands of entries.
        let at = format_compact!("{prefix}workspaces[{index}]");
        check_range(&at, "weight", weight, &WEIGHTS)?;
        check_range(&at, "max_queued", max_queued, &MAX_QUEUED)?;
        return Err(repeated_token_error(&at));
    }
    let mut names = UniqueNames::new(prefix, "operators", document.operators.len(), MAX_OPERATORS)?;
    for (index, entry) in document.operators.iter().enumerate() {
        names.add(index, &entry.name)?;
        if !tokens.insert(entry.token_sha256) {
            return Err(repeated_token_error(&format_compact!(
                "{prefix}operators[{index}]"
            )));
        }
    }
    Ok(())
}

fn repeated_token_error(at: &str) -> ConfigError {
    ConfigError::invalid(
        format_compact!("{at}.token_sha256"),
        "the same digest appears twice; each token is allowed once",
    )
}

/// Checks that the names in one list are valid and that none appears twice.
struct UniqueNames<'a> {
    prefix: &'a str,
    list: &'static str,
    suffix: &'static str,
    seen: FastSet<&'a str>,
}

impl<'a> UniqueNames<'a> {
    fn new(
        prefix: &'a str,
        list: &'static str,
        count: usize,
        limit: usize,
    ) -> Result<Self, ConfigError> {
        if count > limit {
            return Err(ConfigError::invalid(
                format_compact!("{prefix}{list}"),
                format_compact!("{count} entries; at most {limit} are allowed"),
            ));
        }
        let seen = FastSet::default();
        Ok(Self {
            prefix,
            list,
            suffix: ".name",
            seen,
        })
    }

    fn add(&mut self, index: usize, name: &'a str) -> Result<(), ConfigError> {
        if is_valid_name(name) && self.seen.insert(name) {
            return Ok(());
        }
        let path = format_compact!("{}{}[{index}]{}", self.prefix, self.list, self.suffix);
        check_name(&path, name)?;
        Err(ConfigError::invalid(
            path,
            format_compact!("{name:?} appears twice; each name is allowed once"),
        ))
    }
}

fn check_range(
    at: &str,
    field: &str,
    value: u64,
    range: &RangeInclusive<u64>,
) -> Result<(), ConfigError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(ConfigError::invalid(
        format_compact!("{at}.{field}"),
        format_compact!(
            "{value} is not a whole number from {} to {}",
            range.start(),
            range.end()
        ),
    ))
}

/// Accepts names of 1 to 64 letters, digits, '-', '_' and '.'.
pub(crate) fn check_name(path: &str, name: &str) -> Result<(), ConfigError> {
    if is_valid_name(name) {
        return Ok(());
    }
    Err(ConfigError::invalid(
        path,
        "must be 1 to 64 letters, digits, '-', '_' or '.'",
    ))
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}
