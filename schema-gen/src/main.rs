//! Run with `cargo run -p schema-gen` after a change of `proto/operator.proto`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let out_dir = schema_gen::repository_root().join("src/generated");
    schema_gen::generate(&out_dir)?;
    println!(
        "wrote {}",
        out_dir.join(schema_gen::GENERATED_FILE).display()
    );
    Ok(())
}
