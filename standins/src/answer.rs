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
pub fn token_count(model: &str, prompt: &str, max_tokens: u64, body: &Value) -> u64 {
    if body["stop"].is_null() {
        return max_tokens;
    }
    let hash = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0));
    let min_tokens = max_tokens.div_ceil(2);
    min_tokens + hash % (max_tokens - min_tokens + 1)
}

/// Returns the full answer to the body of a completion request, or none if the body is invalid.
pub fn answer(body: &Value) -> Option<String> {
    let completion: Completion = serde_json::from_value(body.clone()).ok()?;
    let prompt = completion.prompt_text();
    let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let model = &completion.model;
    let count = token_count(model, &prompt, max_tokens, body);
    Some(
        (0..count)
            .map(|index| token(model, &prompt, index))
            .collect(),
    )
}
