//! Content of the fake targets' answers: text derived from the input alone, so that a test can tell
//! the correct answer from one that is truncated, duplicated or meant for another request.

use base::hash_parts;

/// Token `index` of what an engine generates for `input`.
pub fn token(input: &str, index: u32) -> String {
    format!("{:04x} ", hash_parts(&[input.as_bytes(), &index.to_le_bytes()]) & 0xffff)
}

/// The first `tokens` tokens of what an engine generates for `input`.
pub fn generated(input: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token(input, i)).collect()
}

/// The answer of a stage that isn't run by an engine.
pub fn expected_output(stage: &str, input: &str) -> String {
    format!("{stage}:{:016x}", hash_parts(&[stage.as_bytes(), input.as_bytes()]))
}
