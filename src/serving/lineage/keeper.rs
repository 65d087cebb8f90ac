//! One daemon of each zone keeps the beginnings of the zone's streams: the others hand them to it, it stores them, tells the
//! other daemons of the zone, and answers those that do not know which software version began a stream.
//!
//! So the daemons that are left after a kill know the streams of the others without a read, and after a kill of a whole zone
//! one daemon reads what is stored of it, however many ask.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{BoxFuture, FutureExt};
use futures::stream::{FuturesUnordered, StreamExt};
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::store;
use crate::coordination::lineage::Beginnings;
use crate::protocol::digest::Body;
use crate::serving::Node;
use crate::serving::peers::source::Slot;
use crate::serving::peers::{self, Home};
use crate::state::record::Name;
use crate::transport::peer;

/// Timeout of a keeper's response to beginnings.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which beginnings are collected before the zone is told of them.
const TELL_DELAY: Duration = Duration::from_millis(50);

/// Beginnings of one hand-over up to which the zone is told of them. Those of the last half minute, which are handed over
/// when a second version comes, are for the keeper only.
const MAX_TOLD: usize = 200;

/// Timeout of a keeper's response to a question, which it may have to read the stored beginnings for.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which the keepers of other zones are asked, too.
const OTHER_ZONES_DELAY: Duration = Duration::from_millis(100);

/// Time after which another zone's beginnings are looked up beside its keeper, which may be cut off.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Pause before a question is repeated.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Name of the RPC method that hands beginnings over.
const BEGUN_METHOD: &str = "begun";

/// Name of the RPC method that returns the version that began a stream.
const ORIGIN_METHOD: &str = "origin";

/// Error code of a daemon that has just started.
const STARTING: i32 = 1;

/// Key by which the daemons of a zone agree on the one that keeps its beginnings.
const KEEPER_KEY: &str = "streams";

/// Question for the version that began a stream.
#[derive(Debug, Clone, Deserialize, Serialize)]
struct Question {
    /// Digest of the stream's identifier.
    #[serde(rename = "i")]
    id: u64,
    /// Zone in which it may have begun.
    #[serde(rename = "z")]
    zone: Name,
}

/// What a keeper knows of a stream.
#[derive(Debug, Clone, Deserialize, Serialize)]
struct Answer {
    /// The version that began it.
    #[serde(rename = "v", default)]
    version: Option<Name>,
    /// Whether the keeper knows all that is stored of the zone.
    #[serde(rename = "c", default)]
    is_complete: bool,
}

impl Answer {
    /// Whether the keeper has nothing to add later.
    fn is_final(&self) -> bool {
        self.is_complete || self.version.is_some()
    }
}

/// The keeper of each zone, that of this daemon's zone first, without those that are `unreachable`.
fn keepers(node: &Node, unreachable: &[Name]) -> Arc<[Home]> {
    let (peers, own) = (&node.peers, &node.settings);
    match unreachable.is_empty() {
        true => peers.strong_homes(own, &KEEPER_KEY.into()),
        false => peers.strong_homes_without(own, KEEPER_KEY, unreachable),
    }
}

/// Whether this daemon keeps the beginnings of its zone.
pub(super) fn is_keeper(node: &Node) -> bool {
    keepers(node, &[])
        .first()
        .is_none_or(|keeper| keeper.address.is_none())
}

/// Hands the streams that began here to the zone's keeper; a daemon that can't reach it acts as keeper for them.
pub(super) async fn hand_over(node: &Arc<Node>) {
    let beginnings = {
        let mut streams = node.lineage.streams.lock();
        streams.take_new(store::ROW_TTL, node.now())
    };
    if beginnings.is_empty() {
        return;
    }
    let keepers = keepers(node, &[]);
    if let Some(keeper) = keepers.first().filter(|it| it.address.is_some()) {
        let call = call(node, keeper, BEGUN_METHOD, &beginnings, HAND_OVER_TIMEOUT);
        match call.await {
            Ok(()) => return,
            Err(error) => node.journal.line(|| {
                spdlog::info!("versions: keeper of the zone failed", kv: {
                    keeper: = keeper.daemon,
                    error: = error,
                });
            }),
        }
    }
    keep(node, beginnings);
}

async fn call<P: Serialize, R: serde::de::DeserializeOwned>(
    node: &Node,
    keeper: &Home,
    method: &str,
    params: &P,
    timeout: Duration,
) -> Result<R, peer::Error> {
    let address = node.peers.call_address(&keeper.daemon);
    let address = address.ok_or(peer::Error::Unreachable)?;
    node.calls.call(address, method, params, timeout).await
}

/// Stores beginnings and tells the other daemons of the zone.
fn keep(node: &Arc<Node>, beginnings: Beginnings) {
    node.lineage.writer.lock().add(beginnings.clone());
    if beginnings.values().map(Vec::len).sum::<usize>() > MAX_TOLD {
        return;
    }
    let is_first = {
        let mut untold = node.lineage.untold.lock();
        let is_first = untold.is_empty();
        for (version, ids) in beginnings {
            untold.entry(version).or_default().extend(ids);
        }
        is_first
    };
    if is_first {
        tokio::spawn(tell(node.clone()));
    }
}

/// Tells the other daemons of the zone of the beginnings that come within a moment.
async fn tell(node: Arc<Node>) {
    sleep(TELL_DELAY).await;
    let beginnings = mem::take(&mut *node.lineage.untold.lock());
    for (version, ids) in beginnings {
        for ids in ids.chunks(store::MAX_STREAMS) {
            let part = [(version.clone(), ids.to_vec())].into();
            peers::broadcast_in_zone(&node, Body::Begun(part));
        }
    }
}

/// Version that began a stream that this daemon does not remember: asks the keepers of all zones, since callers may have come
/// from another one.
pub(super) async fn find(node: &Node, id: u64) -> Option<Name> {
    let keepers = keepers(node, &[]);
    let (own, others) = keepers.split_first()?;
    let mut searches = vec![find_in_own(node, id).boxed()];
    searches.extend(others.iter().map(|it| find_in(node, own, it, id).boxed()));
    first_found(searches).await
}

/// Waits for the first search that finds a version, or for all to end.
async fn first_found(searches: Vec<BoxFuture<'_, Option<Name>>>) -> Option<Name> {
    let mut searches: FuturesUnordered<_> = searches.into_iter().collect();
    while let Some(found) = searches.next().await {
        if found.is_some() {
            return found;
        }
    }
    None
}

/// Version that began a stream in this daemon's zone: asks the zone's keeper until it knows all that is stored. Daemons that
/// find a keeper unreachable turn to the same other one.
async fn find_in_own(node: &Node, id: u64) -> Option<Name> {
    let question = Question {
        id,
        zone: node.settings.zone.clone(),
    };
    let mut unreachable = Vec::new();
    loop {
        let keepers = keepers(node, &unreachable);
        let own = keepers.first()?;
        let Ok(answer) = ask(node, own, &question).await else {
            unreachable.push(own.daemon.clone());
            continue;
        };
        if answer.is_final() {
            return answer.version;
        }
        sleep(ASK_PAUSE).await;
    }
}

/// Version that began a stream in another zone: asks its keeper, and the own zone's one beside it if that does not know all
/// or does not answer soon.
async fn find_in(node: &Node, own: &Home, keeper: &Home, id: u64) -> Option<Name> {
    // Most streams are known in the zone in which they are taken up.
    sleep(OTHER_ZONES_DELAY).await;
    let question = Question {
        id,
        zone: keeper.zone.clone(),
    };
    let mut asked = ask(node, keeper, &question).boxed();
    let mut searches = Vec::new();
    match timeout(HEDGE_DELAY, &mut asked).await {
        Ok(Ok(answer)) if answer.is_final() => return answer.version,
        Ok(_) => {}
        Err(_) => searches.push(version(asked).boxed()),
    }
    searches.push(version(ask(node, own, &question)).boxed());
    first_found(searches).await
}

async fn version(asked: impl Future<Output = Result<Answer, peer::Error>>) -> Option<Name> {
    asked.await.ok()?.version
}

/// Asks a keeper, and remembers what it knows.
async fn ask(node: &Node, keeper: &Home, question: &Question) -> Result<Answer, peer::Error> {
    if keeper.address.is_none() {
        return Ok(answer_question(node, question).await);
    }
    let answer = call::<_, Answer>(node, keeper, ORIGIN_METHOD, question, ASK_TIMEOUT).await;
    match &answer {
        Ok(answer) => {
            if let Some(version) = &answer.version {
                let beginnings = [(version.clone(), vec![question.id])].into();
                node.lineage.streams.lock().learn(&beginnings, node.now());
            }
        }
        Err(error) => node.journal.line(|| {
            spdlog::info!("versions: keeper did not answer", kv: {
                keeper: = keeper.daemon,
                error: = error,
            });
        }),
    }
    answer
}

/// What this daemon knows of a stream, after reading the stored beginnings of the zone if it has to.
async fn answer_question(node: &Node, question: &Question) -> Answer {
    let known = || node.lineage.streams.lock().version(question.id);
    if let Some(version) = known() {
        return Answer {
            version: Some(version),
            is_complete: true,
        };
    }
    let is_complete = store::read(node, &question.zone).await;
    Answer {
        version: known(),
        is_complete,
    }
}

/// Adds the methods by which the other daemons hand beginnings over and ask for them.
///
/// # Errors
/// When the module has a method of one of the names.
pub fn register(module: &mut RpcModule<Slot>) -> Result<(), RegisterMethodError> {
    let starting = || ErrorObjectOwned::owned(STARTING, "starting", None::<()>);
    module.register_method(BEGUN_METHOD, move |params, slot, _| {
        let beginnings: Beginnings = params.one()?;
        let node = slot.get().ok_or_else(starting)?;
        let lineage = &node.lineage;
        lineage.streams.lock().learn(&beginnings, node.now());
        keep(node, beginnings);
        lineage.wanted.notify_one();
        Ok::<(), ErrorObjectOwned>(())
    })?;
    let method = module.register_async_method(ORIGIN_METHOD, move |params, slot, _| async move {
        let question: Question = params.one()?;
        let node = slot.get().ok_or_else(starting)?;
        Ok::<Answer, ErrorObjectOwned>(answer_question(node, &question).await)
    });
    method.map(drop)
}
