//! Compiles the .proto files with protox, which needs no protoc.

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
    // Ordered maps give equal messages equal encodings. The generated doc comments only refer to the published
    // definitions, which document the messages.
    prost_build::Config::new()
        .btree_map(["."])
        .bytes(["."])
        .type_attribute(".", "#[doc = \"Type of the published protocol definition.\"]")
        .field_attribute(".", "#[doc = \"As in the published protocol definition.\"]")
        .compile_fds(set)?;
    Ok(())
}
