//! Coordination logic as pure functions of state, event and time: no I/O, no clock access, no tasks.
//!
//! Times are [`std::time::Duration`]s since an arbitrary origin of the process's monotonic clock.

pub mod adapter;
pub mod allowance;
mod attribution;
pub mod balance;
pub mod bucket;
pub mod choice;
pub mod claim;
pub mod consent;
pub mod election;
pub mod forecast;
pub mod freshness;
pub mod gate;
pub mod grant;
pub mod handover;
pub mod health;
mod held;
pub mod holder;
pub mod index;
pub mod job;
pub mod leadership;
pub mod ledger;
pub mod lineage;
pub mod links;
pub mod loan;
pub mod member;
pub mod peak;
pub mod permit;
pub mod placement;
pub mod quarantine;
pub mod queue;
pub mod ramp;
pub mod reader;
pub mod recency;
pub mod reference;
pub mod rendezvous;
pub mod replication;
pub mod retry;
pub mod revision;
pub mod room;
pub mod route;
pub mod scale;
pub mod seat;
pub mod statement;
pub mod warmup;
pub mod window;
