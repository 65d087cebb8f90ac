//! Reading of settings files by the programs.

use std::path::Path;

use crate::settings::Mistake;

/// Reads a settings file; prints every mistake to the standard error stream and returns none if there is one.
pub fn read<T>(path: &Path, parse: fn(&str) -> Result<T, Vec<Mistake>>) -> Option<T> {
    parsed(path, &text(path)?, parse)
}

/// Reads the text of a settings file; prints why it cannot be read to the standard error stream.
pub fn text(path: &Path) -> Option<String> {
    let text = std::fs::read_to_string(path);
    text.map_err(|error| eprintln!("{}: {error}", path.display()))
        .ok()
}

/// Parses the text of a settings file; prints every mistake to the standard error stream and returns none if there is one.
pub fn parsed<T>(path: &Path, text: &str, parse: fn(&str) -> Result<T, Vec<Mistake>>) -> Option<T> {
    parse(text)
        .map_err(|mistakes| {
            for mistake in mistakes {
                eprintln!("{}:{mistake}", path.display());
            }
        })
        .ok()
}
