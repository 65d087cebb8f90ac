//! Reading of settings files by the programs.

use std::path::Path;

use crate::settings::Mistake;

/// Reads a settings file; prints every mistake to the standard error stream and returns none if there is one.
pub fn read<T>(path: &Path, parse: fn(&str) -> Result<T, Vec<Mistake>>) -> Option<T> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return None;
        }
    };
    match parse(&text) {
        Ok(settings) => Some(settings),
        Err(mistakes) => {
            for mistake in mistakes {
                eprintln!("{}:{mistake}", path.display());
            }
            None
        }
    }
}
