//! Commands of `persimmonctl`.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use rand::RngExt;
use serde::Serialize;
use serde_json::json;

use super::client::Client;
use super::error::Error;
use super::options::{Command, Keys, Options, Output, open_client, read_files};
use super::{line, show, summary, timeline};
use crate::coordination::revision::Change;
use crate::protocol::operator::Fleet;
use crate::protocol::peer::Status;
use crate::state::record::Key;

const KEY_BYTES: usize = 24;
const KEY_PREFIX: &str = "sk-";
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Runs a command and prints its result.
///
/// # Errors
/// [`Error`]; [`Error::exit_code`] gives the program's exit code.
pub async fn run(options: Options) -> Result<(), Error> {
    let output = options.output;
    match &options.command {
        Command::Explain { request, logs } if !logs.is_empty() => {
            return explain(output, request, logs);
        }
        Command::Report { plot, logs } => return report(output, plot.as_deref(), logs),
        _ => {}
    }
    let client = open_client(&options.target)?;
    match options.command {
        Command::Apply {
            id,
            base,
            wait,
            timeout_seconds,
            files,
        } => {
            let change = Change {
                id: id.unwrap_or_else(new_id),
                records: read_files(&files)?,
                withdraw: Vec::new(),
                base,
            };
            let timeout = wait.then_some(Duration::from_secs(timeout_seconds));
            submit(&client, output, &change, timeout).await
        }
        Command::Get { record } => {
            let Some((kind, name)) = record.split_once('/') else {
                let message = format!("\"{record}\": expected KIND/NAME");
                return Err(Error::Usage(message));
            };
            let record = client.record(kind, name).await?;
            print(output, &record, || {
                show::records(std::slice::from_ref(&record))
            });
            Ok(())
        }
        Command::List { kind } => {
            let list = client.list(kind.as_deref()).await?;
            print(output, &list, || show::records(&list.records));
            Ok(())
        }
        Command::Withdraw {
            wait,
            timeout_seconds,
            records,
        } => {
            let change = Change {
                id: new_id(),
                withdraw: records,
                ..Change::default()
            };
            let timeout = wait.then_some(Duration::from_secs(timeout_seconds));
            submit(&client, output, &change, timeout).await
        }
        Command::Keys {
            keys: Keys::Create { workspace, name },
        } => create_key(&client, output, &workspace, &name).await,
        Command::Status => {
            let fleet = client.status().await?;
            print(output, &fleet, || show::fleet(&fleet));
            Ok(())
        }
        Command::Report { .. } => Ok(()),
        Command::Explain { request, .. } => {
            let explanation = client.explain(&request).await?;
            print(output, &explanation, || show::explanation(&explanation));
            Ok(())
        }
        Command::Drain => {
            let answer = client.drain().await?;
            print(output, &answer, || "draining".into());
            Ok(())
        }
    }
}

/// Prints the timeline of a request, merged from the logs of all daemons.
fn explain(output: Output, request: &str, logs: &[PathBuf]) -> Result<(), Error> {
    let lines = line::read(logs)?;
    let entries = timeline::for_request(&lines.all, request);
    if entries.is_empty() {
        return Err(Error::UnknownRequest(request.to_owned()));
    }
    print(output, &entries, || timeline::table(&entries));
    Ok(())
}

/// Prints a summary of the logs of all daemons.
fn report(output: Output, plot: Option<&Path>, logs: &[PathBuf]) -> Result<(), Error> {
    let lines = line::read(logs)?;
    if let Some(path) = plot {
        summary::plot(&lines.all, path).map_err(Error::Usage)?;
    }
    let summary = summary::summarize(&lines);
    print(output, &summary, || summary::tables(&summary));
    Ok(())
}

async fn submit(
    client: &Client,
    output: Output,
    change: &Change,
    wait: Option<Duration>,
) -> Result<(), Error> {
    let accepted = client.submit(change).await?;
    let (id, revision) = (&accepted.id, accepted.revision);
    print(output, &accepted, || {
        format!("accepted: change {id} is revision {revision}")
    });
    match wait {
        Some(timeout) => wait_until_in_force(client, revision, timeout).await,
        None => Ok(()),
    }
}

async fn wait_until_in_force(
    client: &Client,
    revision: u64,
    timeout: Duration,
) -> Result<(), Error> {
    let started_at = Instant::now();
    let mut last_line = String::new();
    loop {
        let fleet = client.status().await.ok();
        let line = match &fleet {
            Some(fleet) => progress(fleet, revision),
            None => "the daemon does not respond".into(),
        };
        if line != last_line {
            eprintln!("{:.1} s: {line}", started_at.elapsed().as_secs_f64());
            last_line = line;
        }
        if fleet.is_some_and(|fleet| in_force(&fleet, revision)) {
            eprintln!("revision {revision} is in force everywhere");
            return Ok(());
        }
        if started_at.elapsed() > timeout {
            return Err(Error::NotInForce(revision));
        }
        tokio::time::sleep(WAIT_POLL_INTERVAL).await;
    }
}

/// Returns whether every known daemon answered and has `revision` or a later one in force.
pub fn in_force(fleet: &Fleet, revision: u64) -> bool {
    let mut daemons = fleet.daemons.iter();
    fleet.silent.is_empty() && daemons.all(|status| status.revision >= revision)
}

fn progress(fleet: &Fleet, revision: u64) -> String {
    let confirmed = fleet.daemons.iter().filter(|s| s.revision >= revision);
    let confirmed = confirmed.count();
    let known = fleet.daemons.len() + fleet.silent.len();
    let waiting = fleet.zones.keys().filter(|zone| {
        let is_behind = |s: &&Status| s.zone == **zone && s.revision < revision;
        let silent = fleet
            .silent
            .iter()
            .any(|(_, silent_zone)| silent_zone == *zone);
        silent || fleet.daemons.iter().any(|status| is_behind(&status))
    });
    let waiting: Vec<&str> = waiting.map(|zone| &**zone).collect();
    let mut line = format!("revision {revision} in force at {confirmed} of {known} daemons");
    if !waiting.is_empty() {
        line = format!("{line}, waiting for zones {}", waiting.join(" "));
    }
    line
}

async fn create_key(
    client: &Client,
    output: Output,
    workspace: &str,
    name: &str,
) -> Result<(), Error> {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    let secret = format!("{KEY_PREFIX}{}", hex::encode(bytes));
    let record = json!({
        "kind": "key",
        "name": name,
        "digest": Key::digest_of(&secret),
        "workspace": workspace,
        "revision": 0,
    });
    let change = Change {
        id: new_id(),
        records: record.as_object().cloned().into_iter().collect(),
        ..Change::default()
    };
    let accepted = client.submit(&change).await?;
    let answer = json!({"key": secret, "name": name, "revision": accepted.revision});
    print(output, &answer, || {
        format!(
            "{secret}\nkey/{name} is revision {}; the key is not shown again",
            accepted.revision
        )
    });
    Ok(())
}

fn new_id() -> String {
    uuid::Uuid::new_v4().to_string()
}

fn print<T: Serialize>(output: Output, value: &T, table: impl FnOnce() -> String) {
    let text = match output {
        Output::Table => table(),
        Output::Json => serde_json::to_string(value).unwrap_or_default(),
    };
    let _ = writeln!(std::io::stdout(), "{text}");
}
