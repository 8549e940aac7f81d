//! Types of all messages and stored objects, generated from `proto/siskinwheel.proto`.
//!
//! The generated code is committed; `cargo run -p wiregen` regenerates it. In JSON, fields have
//! their proto names, and missing fields their proto3 defaults. Between hosts, the types are encoded
//! with tarpc's serde codec.

#[allow(missing_docs, clippy::all, unused_qualifications)]
mod generated {
    include!("gen/siskinwheel.v1.rs");
}

pub use generated::*;
