//! What the programs do alike: options, settings files and exit codes.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use bpaf::OptionParser;

use super::settings;
use crate::settings::Mistake;

/// Exit code for wrong use and wrong settings.
const WRONG: u8 = 2;

/// Reads the command line.
///
/// # Errors
/// The exit code to end with, after help or what is wrong was printed.
pub fn options<T>(parser: OptionParser<T>) -> Result<T, ExitCode> {
    parser
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| {
            failure.print_message(100);
            ExitCode::from(if failure.exit_code() == 0 { 0 } else { WRONG })
        })
}

/// Reports every mistake in a settings file.
pub fn check<T>(path: &Path, parse: fn(&str) -> Result<T, Vec<Mistake>>) -> ExitCode {
    match settings::read(path, parse) {
        Some(_) => {
            println!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        None => wrong(),
    }
}

/// Exit code for wrong use and wrong settings.
pub fn wrong() -> ExitCode {
    ExitCode::from(WRONG)
}

/// Exit code of a program that has run; why it failed goes to the standard error stream.
pub fn ended<E: Display>(program: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
