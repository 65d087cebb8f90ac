//! Command line of `persimmonctl`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use displaydoc::Display;

use super::client::Client;
use super::error::Error;
use super::records;
use crate::settings::Settings;
use crate::state::schema::Fields;

/// Environment variable for the address of the operator listener.
const ADDRESS_VARIABLE: &str = "PERSIMMON_ADDRESS";

/// Environment variable for the operator token.
const TOKEN_VARIABLE: &str = "PERSIMMON_TOKEN";

/// Changes and inspects a fleet of persimmond.
///
///
/// Exit codes: 0 done, 1 failed, 2 invalid usage or unreadable file, 3 records refused, 4 conflict with another
/// operator, 5 daemon or table unavailable and nothing applied, 6 outcome unknown, 7 accepted but not in force
/// everywhere in time, 8 token refused, 9 not found.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    #[bpaf(external)]
    pub(super) target: Target,
    /// Output: table or json
    #[bpaf(argument("FORMAT"), fallback(Output::Table), display_fallback)]
    pub(super) output: Output,
    #[bpaf(external)]
    pub(super) command: Command,
}

/// Daemon to connect to.
#[derive(Debug, Clone, Bpaf)]
pub(super) struct Target {
    /// Operator listener of a daemon; otherwise $PERSIMMON_ADDRESS or the settings file
    #[bpaf(argument("IP:PORT"))]
    address: Option<SocketAddr>,
    /// Operator token; otherwise $PERSIMMON_TOKEN or the settings file
    #[bpaf(argument("TOKEN"))]
    token: Option<String>,
    /// Settings file of a daemon, for its address and token
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
}

/// Output format.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq)]
pub enum Output {
    /// table
    Table,
    /// json
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("expected table or json".into()),
        }
    }
}

/// Command to run.
#[derive(Debug, Clone, Bpaf)]
pub(super) enum Command {
    /// Applies the records of files, INI or JSON, as one change
    #[bpaf(command)]
    Apply {
        /// Change id; sending a change again under its id does not apply it again
        #[bpaf(argument("ID"))]
        id: Option<String>,
        /// Revision that the files are based on; later changes of the same records are conflicts
        #[bpaf(argument("REVISION"))]
        base: Option<u64>,
        /// Wait until the change is in force everywhere
        wait: bool,
        /// Longest wait, in seconds
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        timeout_seconds: u64,
        /// Record files
        #[bpaf(positional("FILE"), some("expected a record file"))]
        files: Vec<PathBuf>,
    },
    /// Prints one record
    #[bpaf(command)]
    Get {
        /// Kind and name, such as workspace/lab
        #[bpaf(positional("KIND/NAME"))]
        record: String,
    },
    /// Prints all records, or those of a kind
    #[bpaf(command)]
    List {
        /// Kind
        #[bpaf(positional("KIND"))]
        kind: Option<String>,
    },
    /// Withdraws keys and deletes other records, as one change
    #[bpaf(command)]
    Withdraw {
        /// Wait until the change is in force everywhere
        wait: bool,
        /// Longest wait, in seconds
        #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
        timeout_seconds: u64,
        /// Kind and name, such as key/counter
        #[bpaf(
            positional("KIND/NAME"),
            some("expected a record, such as key/counter")
        )]
        records: Vec<String>,
    },
    /// Creates keys for callers
    #[bpaf(command)]
    Keys {
        #[bpaf(external)]
        keys: Keys,
    },
    /// Prints the revision in force at each zone and daemon, and the daemons that have not confirmed
    #[bpaf(command)]
    Status,
    /// Prints the decisions about a request, from the daemons' memory or from log files
    #[bpaf(command)]
    Explain {
        /// Log file or directory of log files, JSON lines; connects to no daemon
        #[bpaf(argument("PATH"), many)]
        logs: Vec<PathBuf>,
        /// Request id, from the response's x-request-id header
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
    /// Summarizes log files of all daemons; connects to no daemon
    #[bpaf(command)]
    Report {
        /// Plot refusals and late streams for each second into this file, SVG
        #[bpaf(argument("FILE"))]
        plot: Option<PathBuf>,
        /// Log files or directories of log files, JSON lines
        #[bpaf(positional("PATH"), some("expected a log file"))]
        logs: Vec<PathBuf>,
    },
    /// Starts a graceful shutdown of the daemon
    #[bpaf(command)]
    Drain,
}

/// Command on keys.
#[derive(Debug, Clone, Bpaf)]
pub(super) enum Keys {
    /// Creates a key and prints it once; only its digest is stored
    #[bpaf(command)]
    Create {
        /// Workspace that requests with the key run for
        #[bpaf(argument("WORKSPACE"))]
        workspace: String,
        /// Public name of the key
        #[bpaf(argument("NAME"))]
        name: String,
    },
}

/// Creates a client for the daemon given by the options, the environment or a settings file, in this order.
pub(super) fn open_client(target: &Target) -> Result<Client, Error> {
    let settings = match &target.settings {
        Some(path) => Some(read_settings(path)?),
        None => None,
    };
    let env_var = |name: &str| std::env::var(name).ok();
    let address = match env_var(ADDRESS_VARIABLE).filter(|_| target.address.is_none()) {
        None => target.address,
        Some(text) => {
            let message = format!("{ADDRESS_VARIABLE}: expected IP:PORT, found \"{text}\"");
            Some(text.parse().map_err(|_| Error::Usage(message))?)
        }
    };
    let address = address.or(settings.as_ref().map(|s| s.operator_listen));
    let token = target.token.clone().or_else(|| env_var(TOKEN_VARIABLE));
    let token = token.or(settings.map(|s| s.operator_token));
    let (Some(address), Some(token)) = (address, token) else {
        let message = format!(
            "expected --address and --token, ${ADDRESS_VARIABLE} and ${TOKEN_VARIABLE}, or --settings"
        );
        return Err(Error::Usage(message));
    };
    Ok(Client::open(address, &token))
}

fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text = read_text(path)?;
    Settings::parse(&text).map_err(|mistakes| {
        let lines = mistakes.iter().map(|m| format!("{}:{m}", path.display()));
        Error::Usage(lines.collect::<Vec<_>>().join("\n"))
    })
}

fn read_text(path: &Path) -> Result<String, Error> {
    let to_usage_error = |error| Error::Usage(format!("{}: {error}", path.display()));
    std::fs::read_to_string(path).map_err(to_usage_error)
}

/// Reads the records of all files, in the order given.
pub(super) fn read_files(files: &[PathBuf]) -> Result<Vec<Fields>, Error> {
    let mut all = Vec::new();
    for path in files {
        let parsed = records::parse(&read_text(path)?);
        let to_usage_error = |error| Error::Usage(format!("{}: {error}", path.display()));
        all.extend(parsed.map_err(to_usage_error)?);
    }
    Ok(all)
}
