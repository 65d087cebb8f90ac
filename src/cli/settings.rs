//! Settings files of the programs; errors are printed to stderr.

use std::path::Path;

use crate::settings::Mistake;

/// Reads and parses a settings file; prints every mistake to stderr and returns `None` if there is one.
pub fn read<T>(path: &Path, parse: fn(&str) -> Result<T, Vec<Mistake>>) -> Option<T> {
    self::parse(path, &read_text(path)?, parse)
}

/// Reads the text of a settings file; prints the error to stderr and returns `None` if that fails.
pub fn read_text(path: &Path) -> Option<String> {
    let text = std::fs::read_to_string(path);
    text.map_err(|error| eprintln!("{}: {error}", path.display()))
        .ok()
}

/// Parses the text of a settings file; prints every mistake to stderr and returns `None` if there is one.
pub fn parse<T>(path: &Path, text: &str, parse: fn(&str) -> Result<T, Vec<Mistake>>) -> Option<T> {
    parse(text)
        .map_err(|mistakes| {
            for mistake in mistakes {
                eprintln!("{}:{mistake}", path.display());
            }
        })
        .ok()
}
