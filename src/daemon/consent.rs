//! Consent to act as an endpoint's home: borrowed from and lent to the zone's daemons, with handover of permits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use super::Node;
use super::admission::{Gates, bounds, duty_name, gate_context, wire_digest};
use crate::coordination::consent::{Predecessor, Standing, Zone};
use crate::coordination::permit::Id;
use crate::coordination::ramp::Ramp;
use crate::protocol::permit::{self as wire, Borrow, Consents, Handover};
use crate::state::record::{Endpoint, Name};

const CONSENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest wait of a leaving daemon for its successors to take over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(3000);

const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Gates {
    /// Lends consent to another daemon of the zone, and hands over the endpoints that it takes over.
    pub fn lend(&self, node: &Node, borrow: &Borrow) -> Consents {
        let config = node.config.load();
        let mut response = Consents::default();
        let borrower = borrow.borrower;
        for (index, former) in &borrow.stopped {
            if let Some((name, _)) = borrow.endpoints.get(*index) {
                let mut lender = self.lender.lock();
                lender.release(name, *former, node.now());
                lender.complete(name, *former);
            }
        }
        for (index, (name, digest)) in borrow.endpoints.iter().enumerate() {
            if let Some(endpoint) = config.endpoints.get(name)
                && let Some(handover) = self.hand_over(node, endpoint, borrower)
            {
                response.handovers.push((index, handover));
            }
            let now = node.now();
            let mut lender = self.lender.lock();
            if let Some(digest) = digest {
                lender.complete(name, borrower);
                node.dispatcher.store_digest(name, *digest, now);
            }
            let consent = lender.ask(name, borrower, now).map(|predecessors| {
                let remaining = predecessors.into_iter().map(|predecessor| {
                    let left = predecessor.drained_at.saturating_sub(now);
                    (predecessor.home, left.as_millis() as u64)
                });
                remaining.collect()
            });
            response.consents.push(consent);
        }
        response
    }

    fn hand_over(
        &self,
        node: &Node,
        endpoint: &Endpoint,
        borrower: SocketAddr,
    ) -> Option<Handover> {
        let preferred = node
            .membership
            .home(&duty_name(&endpoint.name), Some(&endpoint.zone));
        if borrower == node.peer_address {
            return None;
        }
        let leaving = node.leaving.is_cancelled();
        if !leaving && preferred.is_none_or(|home| home.address != borrower) {
            return None;
        }
        let state = self.by_endpoint.read().get(&endpoint.name).cloned()?;
        let mut state = state.lock();
        let now = node.now();
        let context = gate_context(node, endpoint, &mut state, now);
        if context.standing == Standing::None {
            return None;
        }
        let (limit_milli, boot) = state.gate.ramp.state();
        let permits = state.gate.ledger.list();
        let drained_at = state.gate.authority.drained_at();
        let handover = Handover {
            permits: permits.iter().map(|id| (id.holder, id.number)).collect(),
            limit_milli,
            boot,
            clear_millis: drained_at.saturating_sub(now).as_millis() as u64,
        };
        let verdicts = state.gate.stop(node.peer_address, now);
        state.ready = false;
        state.deliver(verdicts);
        let mut lender = self.lender.lock();
        lender.release(&endpoint.name, node.peer_address, now);
        spdlog::info!(
            "permit: handed over endpoint={} to={borrower}",
            endpoint.name
        );
        Some(handover)
    }

    /// Returns the load digests of the endpoints that have this daemon as home.
    pub fn digests(&self, node: &Node) -> BTreeMap<Name, wire::Digest> {
        let config = node.config.load();
        let states = self.by_endpoint.read();
        let digests = states.iter().filter_map(|(name, state)| {
            let endpoint = config.endpoints.get(name)?;
            let state = state.lock();
            state.ready.then(|| {
                (
                    name.clone(),
                    wire_digest(state.gate.digest(bounds(endpoint))),
                )
            })
        });
        digests.collect()
    }
}

/// Returns the zone's daemons, without those certainly gone: missing from a list read after they were last seen.
pub fn zone(node: &Node) -> Zone {
    let now = node.now();
    let timeout = node.settings.isolation_timeout;
    let listed_at = node.membership.listed_at();
    let directory = node.membership.directory();
    let zone_peers = directory
        .peers
        .iter()
        .filter(|(_, peer)| peer.zone == node.settings.zone);
    let present = zone_peers.clone().filter(|(_, peer)| {
        let seen = peer.seen.unwrap_or(peer.added);
        let dropped = listed_at.is_some_and(|at| at > seen + timeout);
        peer.listed || !dropped
    });
    let mut members: BTreeMap<SocketAddr, bool> = present
        .map(|(address, peer)| (*address, peer.leaving))
        .collect();
    members.insert(node.peer_address, node.leaving.is_cancelled());
    let recent = |at: Duration| now.saturating_sub(at) < timeout;
    let heard = zone_peers
        .into_iter()
        .any(|(_, peer)| peer.heard.is_some_and(recent));
    Zone {
        me: node.peer_address,
        members,
        isolated: !heard && !listed_at.is_some_and(recent),
    }
}

/// Returns the endpoints of this zone for which this daemon acts, or should act, as home.
pub fn wanted_endpoints(node: &Node) -> Vec<Name> {
    let config = node.config.load();
    let gates = &node.dispatcher.gates;
    let leaving = node.leaving.is_cancelled();
    let wanted = config.endpoints.values().filter(|endpoint| {
        if endpoint.zone != node.settings.zone {
            return false;
        }
        let home = node
            .membership
            .home(&duty_name(&endpoint.name), Some(&endpoint.zone));
        let preferred = home.is_some_and(|home| home.address == node.peer_address);
        let states = gates.by_endpoint.read();
        let ready = states
            .get(&endpoint.name)
            .is_some_and(|state| state.lock().ready);
        ready || (preferred && !leaving)
    });
    let mut names: Vec<Name> = wanted.map(|endpoint| endpoint.name.clone()).collect();
    names.sort();
    names
}

pub async fn renew(node: &Arc<Node>, names: &[Name]) {
    if names.is_empty() {
        return;
    }
    let stopped = request_consent(node, names, Vec::new()).await;
    if !stopped.is_empty() {
        request_consent(node, names, stopped).await;
    }
}

/// Asks all daemons of the zone once, this one included; returns the former homes that handed over.
async fn request_consent(
    node: &Arc<Node>,
    names: &[Name],
    stopped: Vec<(usize, SocketAddr)>,
) -> Vec<(usize, SocketAddr)> {
    let digests = node.dispatcher.gates.digests(node);
    let borrow = Borrow {
        borrower: node.peer_address,
        endpoints: names
            .iter()
            .map(|name| (name.clone(), digests.get(name).copied()))
            .collect(),
        stopped,
    };
    let asks = zone(node).members.into_keys().map(|member| {
        let borrow = &borrow;
        async move {
            let asked_at = node.now();
            let response = if member == node.peer_address {
                Some(node.dispatcher.gates.lend(node, borrow))
            } else {
                let method = wire::method::CONSENT;
                let call = node
                    .peers
                    .call::<_, Consents>(member, method, borrow, CONSENT_TIMEOUT);
                call.await.ok()
            };
            match response {
                Some(response) => apply_consents(node, names, member, response, asked_at),
                None => record_miss(node, names, member, asked_at),
            }
        }
    });
    join_all(asks).await.into_iter().flatten().collect()
}

fn record_miss(
    node: &Node,
    names: &[Name],
    lender: SocketAddr,
    asked_at: Duration,
) -> Vec<(usize, SocketAddr)> {
    let states = node.dispatcher.gates.by_endpoint.read();
    for state in names.iter().filter_map(|name| states.get(name)) {
        state.lock().gate.authority.miss(lender, asked_at);
    }
    Vec::new()
}

fn apply_consents(
    node: &Node,
    names: &[Name],
    lender: SocketAddr,
    response: Consents,
    asked_at: Duration,
) -> Vec<(usize, SocketAddr)> {
    let config = node.config.load();
    let now = node.now();
    let gates = &node.dispatcher.gates;
    let mut stopped = Vec::new();
    for (index, handover) in response.handovers {
        let Some(endpoint) = names.get(index).and_then(|name| config.endpoints.get(name)) else {
            continue;
        };
        let state = gates.state(endpoint);
        let mut state = state.lock();
        let drained_at = now + Duration::from_millis(handover.clear_millis);
        state.gate.authority.take_over(lender, drained_at, now);
        for (holder, number) in handover.permits {
            state.gate.ledger.grant(Id { holder, number }, now);
        }
        state.gate.ramp = Ramp::resume(handover.limit_milli, handover.boot, now);
        state.inherited = true;
        stopped.push((index, lender));
    }
    for (name, consent) in names.iter().zip(response.consents) {
        let Some(endpoint) = config.endpoints.get(name) else {
            continue;
        };
        let consent = consent.map(|predecessors| {
            let known = predecessors.into_iter().map(|(home, millis)| Predecessor {
                home,
                drained_at: now + Duration::from_millis(millis),
            });
            known.collect()
        });
        let state = gates.state(endpoint);
        let mut state = state.lock();
        state.gate.authority.answer(lender, consent, asked_at, now);
    }
    stopped
}

/// Waits briefly until other daemons of the zone have taken over this leaving daemon's endpoints.
pub async fn wait_for_handover(node: &Node) {
    let give_up_at = node.now() + HANDOVER_TIMEOUT;
    while node.now() < give_up_at && has_successor(node) && has_active_gate(node) {
        tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
    }
}

fn has_successor(node: &Node) -> bool {
    let live = node.membership.live();
    let mut others = live
        .iter()
        .filter(|member| member.address != node.peer_address);
    others.any(|member| member.zone == node.settings.zone && !member.leaving)
}

fn has_active_gate(node: &Node) -> bool {
    let states = node.dispatcher.gates.by_endpoint.read();
    states.values().any(|state| state.lock().ready)
}
