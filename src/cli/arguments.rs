//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::settings::{parse_address, parse_duration};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or failed; the result code is printed
  2  wrong usage
  3  no daemon could be reached; nothing was sent
  4  the change or request may have run";

const EXAMPLES: &str = "\
Examples:
  wisteriapin config validate config.json
  wisteriapin config publish config.json --expected-version 41
  wisteriapin zone out krk-a --watch
  wisteriapin rollout start glycol-v2 --pool glycol --version v2 --deadline 2h --watch
  wisteriapin status --endpoint 10.0.0.1:7200 --endpoint 10.0.0.2:7200 --output json
  wisteriapin submit --pool glycol --tier 0 \"Which mix gives dense fog?\"
  wisteriapin call --pool orders --operation place_order --body '{\"barrels\":2}'
  wisteriapin explain 492748dc8d049685 host-1.log host-2.log
  wisteriapin completions bash > wisteriapin.bash";

/// Command-line client of wisteriapin, for operators and callers.
///
/// Addresses are IP:port. Durations take a unit: 500ms, 30s, 15m, 2h.
#[derive(Debug, Parser)]
#[command(name = "wisteriapin", version, max_term_width = 100,
    after_help = format!("{EXAMPLES}\n\n{EXIT_CODES}"))]
pub struct CliArguments {
    #[command(subcommand)]
    pub command: CommandGroup,
}

#[derive(Debug, Subcommand)]
pub enum CommandGroup {
    /// Check, publish and show the configuration document.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Change tiers of work.
    #[command(subcommand)]
    Tier(TierCommand),
    /// Take availability zones out of service and return them.
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Shift pools to new endpoint versions.
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Drain entry hosts.
    #[command(subcommand)]
    Host(HostCommand),
    /// Show a host, its electorate and its pools.
    #[command(after_help = "Example:\n  wisteriapin status --endpoint 10.0.0.1:7200")]
    Status(OperatorAccess),
    /// Show the counters of a host.
    #[command(after_help = "Example:\n  wisteriapin counters --output json")]
    Counters(OperatorAccess),
    /// Show the addresses that discovery returns to callers.
    #[command(after_help = "Example:\n  wisteriapin hosts --endpoint 10.0.0.1:7100")]
    Hosts(CallerAccess),
    /// Send a model request and print its tokens as they arrive.
    ///
    /// After a cut the stream is resumed through another host. The request is never sent again.
    #[command(after_help = "Example:\n  \
        wisteriapin submit --pool glycol --tier 0 --deadline 20s \"Which mix gives dense fog?\"")]
    Submit(SubmitArguments),
    /// Call a service; a call that may have run is sent again under the same key only.
    #[command(after_help = "Example:\n  \
        wisteriapin call --pool orders --operation place_order --body '{\"barrels\":2}'")]
    Call(CallArguments),
    /// Cancel a model request.
    #[command(after_help = "Example:\n  wisteriapin cancel 00c0ffee00c0ffee-5d1f")]
    Cancel(CancelArguments),
    /// Explain one request from the logs of the hosts that had it. Needs no daemon.
    #[command(
        after_help = "Example:\n  wisteriapin explain 492748dc8d049685 host-1.log host-2.log"
    )]
    Explain(ExplainArguments),
    /// Print a completion script for a shell.
    #[command(after_help = "Example:\n  wisteriapin completions bash > wisteriapin.bash")]
    Completions {
        #[arg(value_name = "SHELL")]
        shell: Shell,
    },
}

#[derive(Args, Debug)]
pub struct ExplainArguments {
    /// Id of the request: the header that its caller sent, or `id` in its log lines.
    #[arg(value_name = "ID")]
    pub id: String,
    /// Logs, one file per host or collected with the host's name in each line; `-` is standard
    /// input.
    #[arg(value_name = "FILE", required = true)]
    pub files: Vec<PathBuf>,
    /// Form of the story.
    #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
    pub output: OutputFormat,
}

#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Check a document without a daemon.
    #[command(after_help = "Example:\n  wisteriapin config validate config.json")]
    Validate(ValidateArguments),
    /// Replace the whole configuration document.
    #[command(after_help = "Example:\n  \
        wisteriapin config publish config.json --expected-version 41")]
    Publish(PublishArguments),
    /// Print the document that a host has applied.
    #[command(after_help = "Example:\n  wisteriapin config show --output json")]
    Show(OperatorAccess),
}

#[derive(Debug, Subcommand)]
pub enum TierCommand {
    /// Add a tier or replace the one with the same number.
    #[command(after_help = "Example:\n  \
        wisteriapin tier put 0 --name urgent --default-deadline 5s")]
    Put(TierArguments),
}

#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// Take a zone out of service.
    #[command(after_help = "Example:\n  wisteriapin zone out krk-a --watch")]
    Out(ZoneArguments),
    /// Return a zone to service.
    #[command(after_help = "Example:\n  wisteriapin zone in krk-a --watch")]
    In(ZoneArguments),
    /// Show how far a zone change has got.
    #[command(after_help = "Example:\n  wisteriapin zone status krk-a")]
    Status(ZoneStatusArguments),
}

#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Start to shift a pool to a new version.
    #[command(after_help = "Example:\n  \
        wisteriapin rollout start glycol-v2 --pool glycol --version v2 --deadline 2h --watch")]
    Start(RolloutArguments),
    /// Show running and ended rollouts with their verdicts.
    #[command(after_help = "Example:\n  wisteriapin rollout status glycol-v2 --watch")]
    Status(RolloutStatusArguments),
    /// Roll a running rollout back.
    #[command(after_help = "Example:\n  wisteriapin rollout abort glycol-v2")]
    Abort(AbortArguments),
}

#[derive(Debug, Subcommand)]
pub enum HostCommand {
    /// Drain an entry host: it accepts no new requests and ends its running ones.
    #[command(after_help = "Example:\n  wisteriapin host drain entry-3")]
    Drain(DrainArguments),
    /// End the drain of an entry host.
    #[command(after_help = "Example:\n  wisteriapin host undrain entry-3")]
    Undrain(DrainArguments),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    Text,
    Json,
}

/// Where to reach the operators' port.
#[derive(Args, Clone, Debug)]
pub struct OperatorAccess {
    /// Operator address of a daemon; repeat it to name others to try when one is unreachable.
    #[arg(long = "endpoint", env = "WISTERIAPIN_OPERATOR_ENDPOINTS", value_name = "ADDRESS",
        value_delimiter = ',', value_parser = parse_address, default_value = "127.0.0.1:7200")]
    pub endpoints: Vec<SocketAddr>,
    /// Operator's token. Prefer the environment variable: other users of the machine can read
    /// the arguments of a process.
    #[arg(
        long,
        env = "WISTERIAPIN_OPERATOR_TOKEN",
        value_name = "TOKEN",
        hide_env_values = true
    )]
    pub token: Option<String>,
    /// Format of what is printed.
    #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
    pub output: OutputFormat,
}

/// Where to reach the callers' port.
#[derive(Args, Clone, Debug)]
pub struct CallerAccess {
    /// Caller address of a daemon; repeat it to name others to try when one is unreachable.
    #[arg(long = "endpoint", env = "WISTERIAPIN_CALLER_ENDPOINTS", value_name = "ADDRESS",
        value_delimiter = ',', value_parser = parse_address, default_value = "127.0.0.1:7100")]
    pub endpoints: Vec<SocketAddr>,
    /// Workspace's token. Prefer the environment variable: other users of the machine can read
    /// the arguments of a process.
    #[arg(
        long,
        env = "WISTERIAPIN_TOKEN",
        value_name = "TOKEN",
        hide_env_values = true
    )]
    pub token: Option<String>,
    /// Format of what is printed.
    #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
    pub output: OutputFormat,
}

#[derive(Args, Debug)]
pub struct ValidateArguments {
    /// JSON document.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Format of what is printed.
    #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
    pub output: OutputFormat,
}

#[derive(Args, Debug)]
pub struct PublishArguments {
    /// JSON document.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Refuse the change unless this is the current config version.
    #[arg(long, value_name = "N")]
    pub expected_version: Option<u64>,
    #[command(flatten)]
    pub access: OperatorAccess,
}

#[derive(Args, Debug)]
pub struct TierArguments {
    /// Number of the tier; 0 is the highest.
    #[arg(value_name = "TIER")]
    pub tier: u8,
    /// Name of the tier.
    #[arg(long, value_name = "NAME")]
    pub name: String,
    /// Deadline of requests that give none.
    #[arg(long, value_name = "DURATION", value_parser = parse_duration)]
    pub default_deadline: Duration,
    #[command(flatten)]
    pub access: OperatorAccess,
}

#[derive(Args, Debug)]
pub struct ZoneArguments {
    /// Name of the availability zone.
    #[arg(value_name = "ZONE")]
    pub zone: String,
    /// Refuse the change unless this is the current config version.
    #[arg(long, value_name = "N")]
    pub expected_version: Option<u64>,
    /// Wait until every entry host of the region has confirmed the change.
    #[arg(long)]
    pub watch: bool,
    #[command(flatten)]
    pub access: OperatorAccess,
}

#[derive(Args, Debug)]
pub struct ZoneStatusArguments {
    /// Name of the availability zone.
    #[arg(value_name = "ZONE")]
    pub zone: String,
    /// Wait until every entry host of the region has confirmed the zone's state.
    #[arg(long)]
    pub watch: bool,
    #[command(flatten)]
    pub access: OperatorAccess,
}

#[derive(Args, Debug)]
pub struct RolloutArguments {
    /// Name of the rollout.
    #[arg(value_name = "NAME")]
    pub name: String,
    /// Name of the pool.
    #[arg(long, value_name = "POOL")]
    pub pool: String,
    /// New version of the pool's endpoints.
    #[arg(long, value_name = "VERSION")]
    pub version: String,
    /// Time from now by which the rollout must be complete; otherwise it is rolled back.
    #[arg(long, value_name = "DURATION", value_parser = parse_duration,
        required_unless_present = "deadline_unix_ms", conflicts_with = "deadline_unix_ms")]
    pub deadline: Option<Duration>,
    /// The same as a Unix time in milliseconds.
    #[arg(long, value_name = "MILLISECONDS")]
    pub deadline_unix_ms: Option<u64>,
    /// Wait for the verdict; a rollout that is taken back exits with code 1.
    #[arg(long)]
    pub watch: bool,
    #[command(flatten)]
    pub access: OperatorAccess,
}

#[derive(Args, Debug)]
pub struct RolloutStatusArguments {
    /// Name of the rollout; all are shown without it.
    #[arg(value_name = "NAME", required_if_eq("watch", "true"))]
    pub name: Option<String>,
    /// Wait for the verdict; a rollout that is taken back exits with code 1.
    #[arg(long)]
    pub watch: bool,
    #[command(flatten)]
    pub access: OperatorAccess,
}

#[derive(Args, Debug)]
pub struct AbortArguments {
    /// Name of the rollout.
    #[arg(value_name = "NAME")]
    pub name: String,
    /// Wait for the verdict.
    #[arg(long)]
    pub watch: bool,
    #[command(flatten)]
    pub access: OperatorAccess,
}

#[derive(Args, Debug)]
pub struct DrainArguments {
    /// Name of the entry host.
    #[arg(value_name = "HOST")]
    pub host: String,
    #[command(flatten)]
    pub access: OperatorAccess,
}

#[derive(Args, Debug)]
pub struct SubmitArguments {
    /// Prompt; `-` reads it from standard input.
    #[arg(value_name = "PROMPT")]
    pub prompt: String,
    /// Name of the pool.
    #[arg(long, value_name = "POOL")]
    pub pool: String,
    /// Label for rollout statistics, such as `datasheet`.
    #[arg(long, value_name = "ROUTE", default_value = "default")]
    pub route: String,
    /// Number of the tier; 0 is the highest.
    #[arg(long, value_name = "TIER", default_value_t = 1)]
    pub tier: u8,
    /// Time from now until the whole answer is needed; the tier's default without it.
    #[arg(long, value_name = "DURATION", value_parser = parse_duration)]
    pub deadline: Option<Duration>,
    /// Longest answer, in tokens.
    #[arg(long, value_name = "TOKENS", default_value_t = 1024)]
    pub max_tokens: u32,
    #[command(flatten)]
    pub access: CallerAccess,
}

#[derive(Args, Debug)]
pub struct CallArguments {
    /// Name of the pool.
    #[arg(long, value_name = "POOL")]
    pub pool: String,
    /// Name of the operation, as the service defines it.
    #[arg(long, value_name = "OPERATION")]
    pub operation: String,
    /// JSON value; `-` reads it from standard input.
    #[arg(long, value_name = "JSON", default_value = "null")]
    pub body: String,
    /// The operation may be run more than once.
    #[arg(long)]
    pub idempotent: bool,
    /// Number of the tier; 0 is the highest.
    #[arg(long, value_name = "TIER", default_value_t = 1)]
    pub tier: u8,
    /// Time from now until the answer is needed; the tier's default without it.
    #[arg(long, value_name = "DURATION", value_parser = parse_duration)]
    pub deadline: Option<Duration>,
    /// Key of an earlier call to repeat; a new one is made without it.
    #[arg(long, value_name = "KEY")]
    pub key: Option<String>,
    #[command(flatten)]
    pub access: CallerAccess,
}

#[derive(Args, Debug)]
pub struct CancelArguments {
    /// Key that `submit` printed.
    #[arg(value_name = "KEY")]
    pub key: String,
    #[command(flatten)]
    pub access: CallerAccess,
}

impl CommandGroup {
    /// Returns the format in which a failure is printed.
    #[must_use]
    pub fn output_format(&self) -> OutputFormat {
        match self {
            Self::Config(ConfigCommand::Validate(arguments)) => arguments.output,
            Self::Config(ConfigCommand::Publish(arguments)) => arguments.access.output,
            Self::Config(ConfigCommand::Show(access))
            | Self::Status(access)
            | Self::Counters(access) => access.output,
            Self::Tier(TierCommand::Put(arguments)) => arguments.access.output,
            Self::Zone(ZoneCommand::Out(arguments) | ZoneCommand::In(arguments)) => {
                arguments.access.output
            }
            Self::Zone(ZoneCommand::Status(arguments)) => arguments.access.output,
            Self::Rollout(RolloutCommand::Start(arguments)) => arguments.access.output,
            Self::Rollout(RolloutCommand::Status(arguments)) => arguments.access.output,
            Self::Rollout(RolloutCommand::Abort(arguments)) => arguments.access.output,
            Self::Host(HostCommand::Drain(arguments) | HostCommand::Undrain(arguments)) => {
                arguments.access.output
            }
            Self::Hosts(access) => access.output,
            Self::Submit(arguments) => arguments.access.output,
            Self::Call(arguments) => arguments.access.output,
            Self::Cancel(arguments) => arguments.access.output,
            Self::Explain(arguments) => arguments.output,
            Self::Completions { .. } => OutputFormat::Text,
        }
    }
}
