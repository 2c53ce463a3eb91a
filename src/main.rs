//! The daemon `wisteriapind`.

use std::process::ExitCode;

use snafu::ErrorCompat;

fn main() -> ExitCode {
    let settings = wisteriapin::settings::load_or_exit();
    if settings.check_settings {
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::new()
        .filter_level(settings.log_level)
        .init();
    match wisteriapin::daemon::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let causes: Vec<String> = error.iter_chain().map(ToString::to_string).collect();
            log::error!("daemon: {}", causes.join(": "));
            ExitCode::FAILURE
        }
    }
}
