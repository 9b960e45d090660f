//! Generates the Rust types of proto/*.proto in crates/wire/src/generated.
//!
//! Run from the root of the repository with `cargo run --manifest-path tools/wiregen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["proto/link.proto", "proto/channel.proto"], ["proto"])?;
    let mut config = prost_build::Config::new();
    config.out_dir("crates/wire/src/generated").btree_map(["."]).bytes(["."]);
    config.default_package_filename("link");
    config.compile_fds(descriptors)?;
    Ok(())
}
