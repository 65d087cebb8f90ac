//! Keeps streams at the software version that began them, over the attempts of their callers and over restarts of
//! daemons.
//!
//! The versions of a service at which streams may begin are a row of the daemons' table, which a daemon reads before it
//! serves; a version is written there before the first stream begins at it. While a row has several versions, the
//! beginnings of streams are kept, too, by one daemon of each zone.

pub mod admission;
pub mod keeper;
pub mod store;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::Node;
use super::meter::Origin;
use super::send::Context;
use crate::coordination::lineage::{Beginnings, Streams, Versions};
use crate::state::record::Name;

/// Maximum time from its arrival for which a request waits for the version that began its stream; its caller gives up
/// after a gap of 2 s.
const MAX_WAIT: Duration = Duration::from_millis(1300);

/// What a daemon knows of the versions that began streams.
#[derive(Debug, Default)]
pub struct Lineage {
    /// Streams and the versions that began them.
    pub streams: Mutex<Streams>,
    /// Versions at which streams may begin.
    pub versions: Mutex<Versions>,
    /// Notified when a version is to be admitted, or beginnings are to be stored.
    pub wanted: Notify,
    /// Writes of this daemon to the store.
    writer: Mutex<store::Writer>,
    /// Beginnings that the other daemons of the zone are to be told of.
    untold: Mutex<Beginnings>,
    /// Reads of the stored beginnings by zone; each is held while it is under way.
    readings: Mutex<HashMap<Name, Arc<tokio::sync::Mutex<store::Reading>>>>,
}

/// Digest by which a stream is known: that of the attempt that brought its first event.
fn digest(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Records that a stream has its first event.
pub fn begun(ctx: &Context, version: &Name) {
    let (node, call) = (&ctx.node, &ctx.call);
    if !ctx.admission.route.kind.is_resumable() || call.last_event.is_some() {
        return;
    }
    let mut streams = node.lineage.streams.lock();
    streams.begun(digest(&call.id), version.clone(), node.now());
}

/// Whether streams of a service may begin at a version; asks for it if not.
pub fn may_begin(node: &Node, service: &str, version: &str) -> bool {
    let is_admitted = node.lineage.versions.lock().admits(service, version);
    if !is_admitted {
        node.lineage.wanted.notify_one();
    }
    is_admitted
}

/// Where a daemon has learned which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It remembered the stream.
    Memory,
    /// The service has only one version.
    Only,
    /// The daemon that keeps the beginnings of a zone.
    Keeper,
    /// Nothing is known of the stream.
    Nowhere,
}

impl Source {
    /// Name, for logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Only => "only_version",
            Self::Keeper => "keeper",
            Self::Nowhere => "nowhere",
        }
    }
}

/// Version at which a request has to go on that takes a stream up again, if it is known.
pub async fn origin(ctx: &Context) -> Option<Name> {
    let (version, source) = find(ctx).await;
    let node = &ctx.node;
    let source = source.name();
    node.meter.origins.get_or_create(&Origin { source }).inc();
    node.journal.line(|| {
        let waited = node.now().saturating_sub(ctx.admission.arrived);
        spdlog::info!("versions: origin", kv: {
            request: = ctx.call.id,
            resumes: = ctx.call.resumes.as_deref().unwrap_or("-"),
            version: = version.as_deref().unwrap_or("-"),
            source,
            waited_ms = waited.as_millis() as u64,
            remembered = node.lineage.streams.lock().count(),
        });
    });
    version
}

async fn find(ctx: &Context) -> (Option<Name>, Source) {
    let (node, service) = (&ctx.node, &ctx.admission.service.name);
    let id = ctx.call.resumes.as_deref().map(digest);
    let known = || id.and_then(|id| node.lineage.streams.lock().version(id));
    if let Some(version) = known() {
        return (Some(version), Source::Memory);
    }
    if let Some(version) = only_version(node, service) {
        return (Some(version), Source::Only);
    }
    let Some(id) = id else {
        return (None, Source::Nowhere);
    };
    let deadline = (ctx.admission.arrived + MAX_WAIT).min(ctx.admission.deadline);
    let max_wait = deadline.saturating_sub(node.now());
    match timeout(max_wait, keeper::find(node, id)).await {
        Ok(Some(version)) => (Some(version), Source::Keeper),
        Ok(None) | Err(_) => (None, Source::Nowhere),
    }
}

/// The version that all streams of a service belong to, if this daemon can know that there is only one.
fn only_version(node: &Node, service: &str) -> Option<Name> {
    let version = node.lineage.versions.lock().only(service)?;
    let view = node.fleet.view.load();
    let mut entries = view.all.values().map(|endpoint| &endpoint.entry);
    let has_other = entries.any(|entry| *entry.service == *service && entry.version != version);
    // A daemon that neither reads the store nor hears its peers would not learn of another version. Streams begin at another one
    // only after this belief has run out.
    let longest = node.settings.drain_within;
    let age = node.endpoint_feed.age(node.boot_now());
    let is_current = age.is_some_and(|age| age <= longest);
    (!has_other && (is_current || node.peers.hears_most(longest, node.now()))).then_some(version)
}
