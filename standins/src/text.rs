//! Deterministic answers: the caller can compute the expected answer from the request.

use persimmoncroft::protocol::caller::{Completion, DEFAULT_MAX_TOKENS};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    " bell", " film", " grain", " chime", " frame", " scan", " tone", " reel", " morning",
    " order", " light", " note", " archive", " short", " clear", " soft",
];

/// Returns one token of the answer to a prompt.
pub fn token(model: &str, prompt: &str, index: u64) -> String {
    let seed = xxh3_64_with_seed(model.as_bytes(), index);
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
    format!("{}{}", WORDS[(hash % 16) as usize], hash % 997)
}

/// Returns the number of tokens in the answer: the maximum, or between half of it and the maximum if the body has
/// stop sequences.
pub fn length(model: &str, prompt: &str, most: u64, body: &Value) -> u64 {
    if body["stop"].is_null() {
        return most;
    }
    let hash = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0));
    let least = most.div_ceil(2);
    least + hash % (most - least + 1)
}

/// Returns the full answer to the body of a completion request, or none if the body is invalid.
pub fn answer(body: &Value) -> Option<String> {
    let completion: Completion = serde_json::from_value(body.clone()).ok()?;
    let prompt = completion.prompt_text();
    let most = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let model = &completion.model;
    let count = length(model, &prompt, most, body);
    Some(
        (0..count)
            .map(|index| token(model, &prompt, index))
            .collect(),
    )
}
