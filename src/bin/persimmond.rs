//! The daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use persimmoncroft::{Daemon, Settings, cli};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for wrong settings.
const WRONG_SETTINGS: u8 = 2;

/// Serves many models on few accelerators.
///
///
/// SIGTERM and SIGINT begin a graceful shutdown; further ones change nothing.
/// Exit codes: 0 stopped or settings right, 1 could not start, 2 settings wrong.
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
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    match options {
        Options::Check { file } => match cli::settings::read(&file, Settings::parse) {
            Some(_) => {
                println!("{}: ok", file.display());
                ExitCode::SUCCESS
            }
            None => ExitCode::from(WRONG_SETTINGS),
        },
        Options::Serve { settings } => match cli::settings::read(&settings, Settings::parse) {
            Some(settings) => serve(settings).await,
            None => ExitCode::from(WRONG_SETTINGS),
        },
    }
}

async fn serve(settings: Settings) -> ExitCode {
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmond: {error}");
            ExitCode::FAILURE
        }
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
