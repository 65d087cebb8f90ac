//! Polls the load reports of engines.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use parking_lot::RwLock;

use super::Node;
use crate::protocol::engine::Load;
use crate::state::record::{Endpoint, Kind, Name};

const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);

/// A load report and when it was read.
#[derive(Debug, Clone)]
pub struct Report {
    /// The report.
    pub load: Load,
    /// When it was read, since the daemon's start.
    pub read_at: Duration,
}

/// Latest load reports by endpoint.
#[derive(Debug, Default)]
pub struct Reports {
    reports: RwLock<HashMap<Name, Report>>,
}

impl Reports {
    /// Returns the latest report of an endpoint.
    pub fn report(&self, endpoint: &str) -> Option<Report> {
        self.reports.read().get(endpoint).cloned()
    }

    /// Returns whether an endpoint has a model ready.
    pub fn serves(&self, endpoint: &str, model: &str) -> bool {
        self.reports.read().get(endpoint).is_some_and(|report| {
            let mut models = report.load.models.iter();
            report.load.ready && models.any(|resident| resident.ready && &*resident.model == model)
        })
    }
}

/// Polls all engines until the daemon stops.
pub async fn run(node: Arc<Node>) {
    loop {
        let config = node.config.load_full();
        let engines = config
            .endpoints
            .values()
            .filter(|endpoint| endpoint.runs == Kind::Engine);
        let polls = engines.map(|endpoint| poll(&node, endpoint));
        futures::future::join_all(polls).await;
        tokio::select! {
            () = tokio::time::sleep(node.settings.load_poll) => {}
            () = node.stopped.cancelled() => return,
        }
    }
}

async fn poll(node: &Node, endpoint: &Endpoint) {
    let url = format!("http://{}/load", endpoint.address);
    let no_body: Option<&()> = None;
    let answer = node
        .http
        .json::<_, Load>(Method::GET, &url, no_body, REPORT_TIMEOUT)
        .await;
    let mut reports = node.load_reports.reports.write();
    match answer {
        Ok(load) => {
            let read_at = node.now();
            reports.insert(endpoint.name.clone(), Report { load, read_at });
        }
        Err(_) => drop(reports.remove(&endpoint.name)),
    }
}
