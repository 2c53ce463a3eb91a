//! Workloads and the requests planned from them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;

use crate::behaviour::check_ratio;

/// A workload file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    pub rate_per_second: f64,
    pub duration_seconds: f64,
    /// Token by workspace name.
    #[serde(default)]
    pub workspaces: BTreeMap<String, String>,
    #[serde(default)]
    pub bursts: Vec<LoadBurst>,
    #[serde(default)]
    pub crash_word: Option<CrashWord>,
    pub mix: Vec<MixEntry>,
}

/// A word that crashes endpoints, and the share of the model requests whose prompts have it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashWord {
    pub word: String,
    pub share: f64,
}

impl FromStr for CrashWord {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (word, share) = text.split_once(',').ok_or("expected WORD,SHARE")?;
        let share = share.parse().map_err(|_| "the share is not a number")?;
        let word = word.to_owned();
        Ok(Self { word, share })
    }
}

/// A period with more load.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBurst {
    pub start_seconds: f64,
    pub length_seconds: f64,
    pub factor: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    #[default]
    Model,
    Call,
}

/// A fixed number, or a range from which numbers are drawn evenly by their logarithm.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged)]
pub enum NumberSpread {
    Fixed(u32),
    Range { min: u32, max: u32 },
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixEntry {
    pub name: String,
    #[serde(default)]
    pub kind: RequestKind,
    pub tier: u8,
    #[serde(default)]
    pub route: String,
    pub pool: String,
    /// Name in `workspaces`; without it and `token`, one is drawn per request.
    #[serde(default)]
    pub workspace: Option<String>,
    #[serde(default)]
    pub token: Option<String>,
    #[serde(default = "default_words")]
    pub prompt_words: NumberSpread,
    /// Words at the start of the prompt that requests of this class share.
    #[serde(default)]
    pub shared_prefix_words: u32,
    /// Number of different shared prefixes.
    #[serde(default = "default_prefixes")]
    pub shared_prefixes: u32,
    #[serde(default = "default_tokens")]
    pub max_tokens: NumberSpread,
    pub deadline_ms: u64,
    /// Weight of the class relative to the others.
    pub share: f64,
    #[serde(default = "default_operation")]
    pub operation: String,
    #[serde(default)]
    pub idempotent: bool,
}

fn default_words() -> NumberSpread {
    NumberSpread::Fixed(16)
}

fn default_prefixes() -> u32 {
    1
}

fn default_tokens() -> NumberSpread {
    NumberSpread::Fixed(16)
}

fn default_operation() -> String {
    "place_order".to_owned()
}

/// A request with the time at which it is sent.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    pub at: Duration,
    pub sequence: u64,
    pub class: usize,
    pub token: String,
    pub prompt_words: u32,
    pub prefix: u32,
    pub max_tokens: u32,
    /// Word of the prompt that crashes endpoints.
    pub crash_word: Option<String>,
}

impl NumberSpread {
    fn draw(self, generator: &mut StdRng) -> u32 {
        match self {
            Self::Fixed(number) => number,
            Self::Range { min, max } => {
                let low = f64::from(min.max(1)).ln();
                let high = f64::from(max.max(1)).ln();
                let drawn = (low + generator.random::<f64>() * (high - low))
                    .exp()
                    .round();
                // Lies within the range, which fits.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let number = drawn as u32;
                number
            }
        }
    }

    fn is_valid(self) -> bool {
        match self {
            Self::Fixed(_) => true,
            Self::Range { min, max } => min <= max,
        }
    }
}

impl Workload {
    /// Checks the ranges and that every class has a token.
    ///
    /// # Errors
    ///
    /// Names the class and the field.
    pub fn check(&self) -> Result<(), String> {
        let is_positive = |number: f64| number.is_finite() && number > 0.0;
        if !is_positive(self.rate_per_second) || !is_positive(self.duration_seconds) {
            return Err("rate_per_second and duration_seconds must be above 0".to_owned());
        }
        if self.bursts.iter().any(|burst| !is_positive(burst.factor)) {
            return Err("the factor of a burst must be above 0".to_owned());
        }
        if self.mix.is_empty() {
            return Err("mix is empty".to_owned());
        }
        let crash_word = self.crash_word.as_ref();
        check_ratio("crash_word", crash_word.map_or(0.0, |crash| crash.share))?;
        self.mix
            .iter()
            .try_for_each(|entry| self.check_entry(entry))
    }

    fn check_entry(&self, entry: &MixEntry) -> Result<(), String> {
        let name = &entry.name;
        if !entry.share.is_finite() || entry.share <= 0.0 {
            return Err(format!("{name}: share must be above 0"));
        }
        if !entry.prompt_words.is_valid() || !entry.max_tokens.is_valid() {
            return Err(format!("{name}: min must not be above max"));
        }
        let has_token = match &entry.workspace {
            Some(workspace) => self.workspaces.contains_key(workspace),
            None => entry.token.is_some() || !self.workspaces.is_empty(),
        };
        if !has_token {
            return Err(format!("{name}: no token or unknown workspace"));
        }
        Ok(())
    }

    /// Plans every request. The same seed gives the same plan.
    #[must_use]
    pub fn plan(&self, seed: u64) -> Vec<PlannedRequest> {
        let mut generator = StdRng::seed_from_u64(seed);
        let highest = self
            .bursts
            .iter()
            .fold(1.0_f64, |highest, burst| highest.max(burst.factor));
        let peak_rate = self.rate_per_second * highest;
        let mut planned = Vec::new();
        let mut at_seconds = 0.0;
        loop {
            // Arrivals at the peak rate, thinned to the rate of the moment.
            at_seconds += -(1.0 - generator.random::<f64>()).ln() / peak_rate;
            if at_seconds >= self.duration_seconds {
                return planned;
            }
            let is_kept = generator.random::<f64>() < self.factor_at(at_seconds) / highest;
            if is_kept {
                let at = Duration::from_secs_f64(at_seconds);
                let request = self.draw(at, planned.len() as u64, &mut generator);
                planned.push(request);
            }
        }
    }

    fn factor_at(&self, seconds: f64) -> f64 {
        let is_within = |burst: &&LoadBurst| {
            seconds >= burst.start_seconds && seconds < burst.start_seconds + burst.length_seconds
        };
        self.bursts
            .iter()
            .find(is_within)
            .map_or(1.0, |burst| burst.factor)
    }

    fn draw(&self, at: Duration, sequence: u64, generator: &mut StdRng) -> PlannedRequest {
        let total: f64 = self.mix.iter().map(|entry| entry.share).sum();
        let mut left = generator.random::<f64>() * total;
        let found = self.mix.iter().position(|entry| {
            left -= entry.share;
            left < 0.0
        });
        let class = found.unwrap_or(self.mix.len() - 1);
        let entry = &self.mix[class];
        PlannedRequest {
            at,
            sequence,
            class,
            token: self.draw_token(entry, generator),
            prompt_words: entry.prompt_words.draw(generator),
            prefix: generator.random_range(0..entry.shared_prefixes.max(1)),
            max_tokens: entry.max_tokens.draw(generator),
            crash_word: self.draw_crash_word(entry, generator),
        }
    }

    // Nothing is drawn without a crash word, so that the plan of a seed stays the same.
    fn draw_crash_word(&self, entry: &MixEntry, generator: &mut StdRng) -> Option<String> {
        let crash = self.crash_word.as_ref()?;
        let is_drawn = generator.random::<f64>() < crash.share;
        (is_drawn && entry.kind == RequestKind::Model).then(|| crash.word.clone())
    }

    fn draw_token(&self, entry: &MixEntry, generator: &mut StdRng) -> String {
        if let Some(token) = &entry.token {
            return token.clone();
        }
        if let Some(workspace) = &entry.workspace {
            return self.workspaces.get(workspace).cloned().unwrap_or_default();
        }
        let index = generator.random_range(0..self.workspaces.len().max(1));
        self.workspaces
            .values()
            .nth(index)
            .cloned()
            .unwrap_or_default()
    }

    /// The workload that is used without a file: short questions, long documents, tags and orders.
    #[must_use]
    pub fn built_in(rate: f64, seconds: f64, engine_pool: &str, service_pool: &str) -> Self {
        let model = |name: &str, tier, words, max_tokens, deadline_ms, share| MixEntry {
            name: name.to_owned(),
            kind: RequestKind::Model,
            tier,
            route: name.to_owned(),
            pool: engine_pool.to_owned(),
            workspace: None,
            token: None,
            prompt_words: words,
            shared_prefix_words: 128,
            shared_prefixes: 4,
            max_tokens,
            deadline_ms,
            share,
            operation: default_operation(),
            idempotent: false,
        };
        let range = |min, max| NumberSpread::Range { min, max };
        let order = MixEntry {
            kind: RequestKind::Call,
            pool: service_pool.to_owned(),
            ..model("order", 0, default_words(), default_tokens(), 5000, 0.1)
        };
        Self {
            rate_per_second: rate,
            duration_seconds: seconds,
            workspaces: BTreeMap::new(),
            bursts: Vec::new(),
            crash_word: None,
            mix: vec![
                model("question", 0, range(10, 60), range(16, 64), 5000, 0.5),
                model("tag", 2, range(40, 200), range(2, 8), 20_000, 0.3),
                model(
                    "document",
                    1,
                    range(2000, 6000),
                    range(200, 600),
                    60_000,
                    0.1,
                ),
                order,
            ],
        }
    }
}

impl PlannedRequest {
    /// Writes the prompt: a prefix that requests of the class share, the crash word if there is one,
    /// then words of this request. The crash word is never the last one.
    #[must_use]
    pub fn prompt(&self, entry: &MixEntry) -> String {
        let mut prompt = String::new();
        let last = self.prompt_words.saturating_sub(1);
        for index in 0..self.prompt_words {
            if let Some(word) = &self.crash_word
                && index == entry.shared_prefix_words.min(last)
            {
                prompt.push_str(word);
                prompt.push(' ');
            }
            let written = if index < entry.shared_prefix_words {
                write!(prompt, "{}{}p{index} ", entry.name, self.prefix)
            } else {
                write!(prompt, "r{}w{index} ", self.sequence)
            };
            // Writing to a string cannot fail.
            debug_assert!(written.is_ok());
        }
        prompt
    }
}
