//! Failures of a command and the exit codes that they lead to.

use serde_json::json;

use crate::cli::arguments::OutputFormat;
use crate::cli::output::write_output;
use crate::generated::operator as rpc;
use crate::result_code::{RanState, ResultCode};

pub(crate) type CliResult<T> = Result<T, CliFailure>;

/// Why a command did not do what it was asked.
#[derive(Debug)]
pub(crate) enum CliFailure {
    /// A daemon answered with a result code.
    Refused(Refusal),
    /// A rollout ended with the verdict that its version is bad or late.
    TakenBack(String),
    /// The answer or the input cannot be used; nothing was changed.
    Failed(String),
    Usage(String),
    /// No connection could be made; nothing was sent.
    Unreachable(String),
    /// The connection broke after something was sent.
    Unknown(String),
}

#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) number: u32,
    pub(crate) ran: RanState,
    pub(crate) message: String,
    pub(crate) field: String,
}

impl Refusal {
    pub(crate) fn code(&self) -> Option<ResultCode> {
        ResultCode::from_number(self.number)
    }
}

impl From<&rpc::Result> for Refusal {
    fn from(result: &rpc::Result) -> Self {
        Self {
            number: result.code,
            ran: parse_ran(&result.ran),
            message: result.message.clone(),
            field: result.field.clone(),
        }
    }
}

/// Reads whether a request ran; an unknown word promises nothing.
pub(crate) fn parse_ran(text: &str) -> RanState {
    [RanState::NotRun, RanState::Ran]
        .into_iter()
        .find(|state| state.name() == text)
        .unwrap_or(RanState::MayHaveRun)
}

impl CliFailure {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(refusal) => match refusal.ran {
                RanState::NotRun | RanState::Ran => 1,
                RanState::MayHaveRun => 4,
            },
            Self::TakenBack(_) | Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
            Self::Unknown(_) => 4,
        }
    }

    fn ran(&self) -> RanState {
        match self {
            Self::Refused(refusal) => refusal.ran,
            Self::TakenBack(_) => RanState::Ran,
            Self::Failed(_) | Self::Usage(_) | Self::Unreachable(_) => RanState::NotRun,
            Self::Unknown(_) => RanState::MayHaveRun,
        }
    }

    fn message(&self) -> &str {
        match self {
            Self::Refused(refusal) => &refusal.message,
            Self::TakenBack(message)
            | Self::Failed(message)
            | Self::Usage(message)
            | Self::Unreachable(message)
            | Self::Unknown(message) => message,
        }
    }

    /// Prints text to standard error, or JSON to standard output as all other results.
    pub(crate) fn print(&self, format: OutputFormat) {
        let refusal = match self {
            Self::Refused(refusal) => Some(refusal),
            _ => None,
        };
        // 0 stands for an answer without a code.
        let number = refusal
            .map(|refusal| refusal.number)
            .filter(|number| *number > 0);
        let field = refusal.map_or("", |refusal| refusal.field.as_str());
        match format {
            OutputFormat::Json => {
                let failure = json!({
                    "code": number,
                    "ran": self.ran().name(),
                    "message": self.message(),
                    "field": field,
                });
                write_output(format!("{failure}\n").as_bytes());
            }
            OutputFormat::Text => {
                let code = number.map_or(String::new(), |number| format!("{number}: "));
                let at = if field.is_empty() {
                    String::new()
                } else {
                    format!(" (field {field})")
                };
                let ran = self.ran().name().replace('_', " ");
                eprintln!("wisteriapin: {code}{}{at}; {ran}", self.message());
            }
        }
    }
}
