//! Explains one request from hosts' logs.

use std::io::Read;
use std::path::Path;

use crate::cli::arguments::ExplainArguments;
use crate::cli::failure::{CliFailure, CliResult};
use crate::cli::output::print_reply;
use crate::cli::reads::read_file;
use crate::explain::{HostLog, explain_request, story_text};

pub(crate) fn explain(arguments: &ExplainArguments) -> CliResult<()> {
    let mut texts = Vec::new();
    for file in &arguments.files {
        texts.push((host_name(file), read_log(file)?));
    }
    let logs: Vec<HostLog> = texts
        .iter()
        .map(|(host, text)| HostLog { host, text })
        .collect();
    let Some(story) = explain_request(&arguments.id, &logs) else {
        let (id, files) = (&arguments.id, arguments.files.len());
        return Err(CliFailure::Failed(format!(
            "no line of {files} files names request {id}"
        )));
    };
    print_reply(arguments.output, &story, story_text);
    Ok(())
}

fn host_name(file: &Path) -> String {
    file.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}

/// Reads a log. Lines cut in the middle of a character are read as far as they go.
fn read_log(file: &Path) -> CliResult<String> {
    if file.as_os_str() != "-" {
        return read_file(file);
    }
    let mut bytes = Vec::new();
    std::io::stdin()
        .read_to_end(&mut bytes)
        .map_err(|error| CliFailure::Usage(format!("cannot read standard input: {error}")))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
