//! Command-line tool for operators.

use std::process::ExitCode;

use persimmoncroft::cli::{command, options::options, program};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = match program::options(options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let Err(error) = command::run(options).await else {
        return ExitCode::SUCCESS;
    };
    eprintln!("persimmonctl: {error}");
    let details = error.details();
    if !details.is_empty() {
        eprintln!("{details}");
    }
    ExitCode::from(error.exit_code())
}
