//! Compiles the project's .proto files with protox: no protoc is needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = [
        "proto/inference.proto",
        "proto/orca.proto",
        "proto/rpc.proto",
        "proto/remote_write_v1.proto",
        "proto/remote_write_v2.proto",
    ];
    for file in files {
        println!("cargo::rerun-if-changed={file}");
    }
    let set = protox::compile(files, ["proto"])?;
    // Ordered maps, so that equal messages have equal bytes. The published definitions document the messages; the
    // generated documentation only refers to them.
    prost_build::Config::new()
        .btree_map(["."])
        .bytes(["."])
        .type_attribute(".", "#[doc = \"Of the published definition.\"]")
        .field_attribute(".", "#[doc = \"Of the published definition.\"]")
        .compile_fds(set)?;
    Ok(())
}
