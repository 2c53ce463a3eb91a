//! Command line for operators and callers.

pub mod arguments;
mod calls;
mod changes;
mod connection;
mod discovery;
mod explain;
mod failure;
mod output;
mod reads;
mod submit;
mod watch;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use arguments::{
    CliArguments, CommandGroup, ConfigCommand, HostCommand, RolloutCommand, TierCommand,
    ZoneCommand,
};
use failure::CliResult;

/// Runs the command of the process's own arguments.
///
/// # Panics
///
/// Panics if the event loop cannot be created.
#[must_use]
pub fn run() -> ExitCode {
    let arguments = CliArguments::parse();
    let format = arguments.command.output_format();
    let runtime = compio::runtime::Runtime::new().expect("the event loop can be created");
    match runtime.block_on(run_command(arguments.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            failure.print(format);
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run_command(command: CommandGroup) -> CliResult<()> {
    match command {
        CommandGroup::Config(command) => run_config(command).await,
        CommandGroup::Tier(TierCommand::Put(arguments)) => changes::put_tier(arguments).await,
        CommandGroup::Zone(command) => run_zone(command).await,
        CommandGroup::Rollout(command) => run_rollout(command).await,
        CommandGroup::Host(HostCommand::Drain(arguments)) => {
            changes::drain_host(arguments, true).await
        }
        CommandGroup::Host(HostCommand::Undrain(arguments)) => {
            changes::drain_host(arguments, false).await
        }
        CommandGroup::Status(access) => reads::show_status(access).await,
        CommandGroup::Counters(access) => reads::show_counters(access).await,
        CommandGroup::Hosts(access) => discovery::show_hosts(access).await,
        CommandGroup::Submit(arguments) => submit::submit(arguments).await,
        CommandGroup::Call(arguments) => calls::call(arguments).await,
        CommandGroup::Cancel(arguments) => calls::cancel(arguments).await,
        CommandGroup::Explain(arguments) => explain::explain(&arguments),
        CommandGroup::Completions { shell } => {
            let mut command = CliArguments::command();
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut command, "wisteriapin", &mut script);
            output::write_output(&script);
            Ok(())
        }
    }
}

async fn run_config(command: ConfigCommand) -> CliResult<()> {
    match command {
        ConfigCommand::Validate(arguments) => reads::validate_config(&arguments),
        ConfigCommand::Publish(arguments) => changes::publish_config(arguments).await,
        ConfigCommand::Show(access) => reads::show_config(access).await,
    }
}

async fn run_zone(command: ZoneCommand) -> CliResult<()> {
    match command {
        ZoneCommand::Out(arguments) => changes::set_zone(arguments, true).await,
        ZoneCommand::In(arguments) => changes::set_zone(arguments, false).await,
        ZoneCommand::Status(arguments) => {
            let goal = if arguments.watch {
                watch::ZoneGoal::InForce { since: 0 }
            } else {
                watch::ZoneGoal::FirstReport
            };
            watch::watch_zone(&arguments.access, &arguments.zone, goal).await
        }
    }
}

async fn run_rollout(command: RolloutCommand) -> CliResult<()> {
    match command {
        RolloutCommand::Start(arguments) => changes::start_rollout(arguments).await,
        RolloutCommand::Status(arguments) => reads::show_rollouts(arguments).await,
        RolloutCommand::Abort(arguments) => changes::abort_rollout(arguments).await,
    }
}
