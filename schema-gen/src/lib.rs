//! Generates the Rust code of the operator RPCs from `proto/operator.proto`.
//!
//! The schema is compiled in this process by protox, so no `protoc` program is needed.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::{fs, io};

/// Name of the generated file.
pub const GENERATED_FILE: &str = "operator.rs";
/// Name that prost derives from the package.
const PROST_FILE: &str = "wisteriapin.v1.rs";

/// Fields that hold an enum as a number, and the functions that write its name instead.
const ENUM_FIELDS: [(&str, &str); 6] = [
    ("SetZoneRequest.state", "write_zone_state"),
    ("WatchZoneReply.state", "write_zone_state"),
    ("StatusReply.state", "write_host_state"),
    ("Elector.state", "write_host_state"),
    ("Endpoint.state", "write_endpoint_state"),
    ("Rollout.verdict", "write_rollout_verdict"),
];

/// Root of the repository.
#[must_use]
pub fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Writes the generated code into a directory.
///
/// # Errors
///
/// Fails if the schema is not valid, or the file cannot be written or formatted.
pub fn generate(out_dir: &Path) -> Result<(), Box<dyn Error>> {
    let schema_dir = repository_root().join("proto");
    let descriptors = protox::compile(["operator.proto"], [schema_dir])?;
    fs::create_dir_all(out_dir)?;
    let mut builder = tonic_prost_build::configure()
        .build_transport(false)
        .emit_rerun_if_changed(false)
        // The command line prints replies as JSON.
        .message_attribute(".", "#[derive(serde::Serialize)]");
    for (field, writer) in ENUM_FIELDS {
        let attribute = format!("#[serde(serialize_with = \"crate::generated::{writer}\")]");
        builder = builder.field_attribute(field, attribute);
    }
    builder.out_dir(out_dir).compile_fds(descriptors)?;
    let file = out_dir.join(GENERATED_FILE);
    fs::rename(out_dir.join(PROST_FILE), &file)?;
    format_file(&file)
}

/// Applies the repository's format, since `cargo fmt --check` covers the generated module too.
fn format_file(file: &Path) -> Result<(), Box<dyn Error>> {
    let status = Command::new("rustfmt")
        .args(["--edition", "2024", "--config-path"])
        .arg(repository_root().join("rustfmt.toml"))
        .arg(file)
        .status()?;
    if status.success() {
        return Ok(());
    }
    Err(format!("rustfmt failed on {}", file.display()).into())
}

/// Tells whether the committed code is what the schema generates.
///
/// # Errors
///
/// Fails if the schema is not valid or a file cannot be read or written.
pub fn is_current(committed: &Path, scratch_dir: &Path) -> Result<bool, Box<dyn Error>> {
    generate(scratch_dir)?;
    let generated = fs::read(scratch_dir.join(GENERATED_FILE))?;
    match fs::read(committed.join(GENERATED_FILE)) {
        Ok(text) => Ok(text == generated),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(false),
        Err(error) => Err(error.into()),
    }
}
