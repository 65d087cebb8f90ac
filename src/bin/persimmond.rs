//! The serving daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use persimmoncroft::{Daemon, Settings, cli};
use tokio::signal::unix::{SignalKind, signal};

/// Serves many models on few accelerators.
///
///
/// SIGTERM and SIGINT start a graceful shutdown; further signals have no effect.
/// Exit codes: 0 stopped or settings valid, 1 could not start, 2 settings invalid.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Reports every mistake in a settings file
    #[bpaf(command)]
    Check {
        /// Settings file, INI
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    Serve {
        /// Settings file, INI
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = match cli::program::options(options()) {
        Ok(options) => options,
        Err(code) => return code,
    };
    match options {
        Options::Check { file } => cli::program::check(&file, Settings::parse),
        Options::Serve { settings } => match cli::settings::read(&settings, Settings::parse) {
            Some(settings) => cli::program::exit_code("persimmond", run(settings).await),
            None => cli::program::invalid_exit_code(),
        },
    }
}

async fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    cli::log::open(settings.log_level)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::spawn(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.node().leaving.cancelled() => {}
    }
    spdlog::info!("daemon: leaving");
    daemon.stop().await;
    Ok(())
}
