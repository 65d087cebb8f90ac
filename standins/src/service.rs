//! Stand-in for a plain service (charges, labels and lookups) that counts the runs of each booking.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::recorder::{self, Recorder};
use crate::server::{self, Body, Server};

const SERVICE_TIME: Duration = Duration::from_millis(5);
const LATE_RESPONSE_DELAY: Duration = Duration::from_secs(3);

/// Faults to inject.
#[derive(Debug, Default)]
pub struct Faults {
    /// Calls executed whose response is lost, per thousand.
    pub lost_responses_per_mille: AtomicU64,
    /// Threshold for late responses, per thousand; one random draw is compared with both values, so draws
    /// below `lost_responses_per_mille` are lost.
    pub late_responses_per_mille: AtomicU64,
}

/// A running service; dropping it stops it.
pub struct Service {
    /// Listen address.
    pub address: SocketAddr,
    /// Injected faults.
    pub faults: Arc<Faults>,
    _server: Server,
}

impl Service {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
    pub async fn spawn(
        name: Arc<str>,
        zone: Arc<str>,
        recorder: Arc<Recorder>,
    ) -> io::Result<Self> {
        let faults = Arc::<Faults>::default();
        let handler_faults = faults.clone();
        let handler: server::Handler = Arc::new(move |request| {
            let (recorder, faults) = (recorder.clone(), handler_faults.clone());
            let (name, zone) = (name.clone(), zone.clone());
            Box::pin(async move {
                let response = handle(&recorder, &name, &zone, &request);
                tokio::time::sleep(SERVICE_TIME).await;
                delay_response(&faults).await;
                response
            })
        });
        let server = Server::bind(handler).await?;
        Ok(Self {
            address: server.address,
            faults,
            _server: server,
        })
    }
}

fn handle(
    recorder: &Recorder,
    name: &Arc<str>,
    zone: &Arc<str>,
    request: &Request<Bytes>,
) -> Response<Body> {
    let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
    let target = match request.method() {
        &Method::POST => body["booking"].as_str().unwrap_or_default(),
        _ => request.uri().path(),
    };
    let target = target.replace("%5B", "[").replace("%5D", "]");
    let tag = recorder::find_tag(&target).unwrap_or_default();
    recorder.inspect_request(request, tag);
    recorder.record_run(name, zone, tag);
    if request.method() == Method::POST {
        *recorder.bookings.lock().entry(tag.to_owned()).or_default() += 1;
    }
    server::json(StatusCode::OK, &json!({"booking": format!("[[{tag}]]")}))
}

async fn delay_response(faults: &Faults) {
    let draw = rand::random_range(0..1000);
    if draw < faults.lost_responses_per_mille.load(Relaxed) {
        std::future::pending::<()>().await;
    }
    if draw < faults.late_responses_per_mille.load(Relaxed) {
        tokio::time::sleep(LATE_RESPONSE_DELAY).await;
    }
}
