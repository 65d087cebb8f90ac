//! Stand-in for a plain service (charges, labels and lookups) that counts the runs of each booking.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::judge::{self, Judge};
use crate::serve::{self, Body, Server};

const RUN_TIME: Duration = Duration::from_millis(5);
const LATE_ANSWER: Duration = Duration::from_secs(3);

/// Faults to inject.
#[derive(Debug, Default)]
pub struct Switches {
    /// Calls executed whose response is lost, per thousand.
    pub lost_answers_per_mille: AtomicU64,
    /// Threshold for late responses, per thousand; one random draw is compared with both values, so draws
    /// below `lost_answers_per_mille` are lost.
    pub late_answers_per_mille: AtomicU64,
}

/// A running service; dropping it stops it.
pub struct Service {
    /// Listen address.
    pub address: SocketAddr,
    /// Injected faults.
    pub switches: Arc<Switches>,
    _server: Server,
}

impl Service {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn spawn(name: Arc<str>, zone: Arc<str>, judge: Arc<Judge>) -> io::Result<Self> {
        let switches = Arc::<Switches>::default();
        let handler_switches = switches.clone();
        let handler: serve::Handler = Arc::new(move |request| {
            let (judge, switches) = (judge.clone(), handler_switches.clone());
            let (name, zone) = (name.clone(), zone.clone());
            Box::pin(async move {
                let answer = run(&judge, &name, &zone, &request);
                tokio::time::sleep(RUN_TIME).await;
                delay(&switches).await;
                answer
            })
        });
        let server = Server::bind(handler).await?;
        Ok(Self {
            address: server.address,
            switches,
            _server: server,
        })
    }
}

fn run(
    judge: &Judge,
    name: &Arc<str>,
    zone: &Arc<str>,
    request: &Request<Bytes>,
) -> Response<Body> {
    let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
    let asked = match request.method() {
        &Method::POST => body["booking"].as_str().unwrap_or_default(),
        _ => request.uri().path(),
    };
    let asked = asked.replace("%5B", "[").replace("%5D", "]");
    let tag = judge::find_tag(&asked).unwrap_or_default();
    judge.inspect(request, tag);
    judge.run(name, zone, tag);
    if request.method() == Method::POST {
        *judge.bookings.lock().entry(tag.to_owned()).or_default() += 1;
    }
    serve::json(StatusCode::OK, &json!({"booking": format!("[[{tag}]]")}))
}

async fn delay(switches: &Switches) {
    let draw = rand::random_range(0..1000);
    if draw < switches.lost_answers_per_mille.load(Relaxed) {
        std::future::pending::<()>().await;
    }
    if draw < switches.late_answers_per_mille.load(Relaxed) {
        tokio::time::sleep(LATE_ANSWER).await;
    }
}
