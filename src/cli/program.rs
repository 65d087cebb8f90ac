//! Startup code shared by the programs: command line, settings check and exit codes.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use bpaf::OptionParser;

use super::settings;
use crate::settings::Mistake;

/// Exit code for an invalid command line or invalid settings.
const EXIT_INVALID: u8 = 2;

/// Parses the command line.
///
/// # Errors
/// The exit code of the program, after the help or the error was printed.
pub fn options<T>(parser: OptionParser<T>) -> Result<T, ExitCode> {
    parser
        .run_inner(bpaf::Args::current_args())
        .map_err(|failure| {
            failure.print_message(100);
            ExitCode::from(if failure.exit_code() == 0 {
                0
            } else {
                EXIT_INVALID
            })
        })
}

/// Checks a settings file and prints every mistake in it, or `ok`.
pub fn check<T>(path: &Path, parse: fn(&str) -> Result<T, Vec<Mistake>>) -> ExitCode {
    match settings::read(path, parse) {
        Some(_) => {
            println!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        None => invalid_exit_code(),
    }
}

/// Returns the exit code for an invalid command line or invalid settings.
pub fn invalid_exit_code() -> ExitCode {
    ExitCode::from(EXIT_INVALID)
}

/// Returns the exit code for a program's result, and prints its error to stderr.
pub fn exit_code<E: Display>(program: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
