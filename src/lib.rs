//! Coordination components for serving many models on few accelerators.
//!
//! The components in [`coordination`] only make decisions: they take the state, an event and the time, do no I/O, and
//! can be embedded without the daemon. In this example two daemons agree on the owner of a duty, and a call that must
//! not be repeated is sent exactly once although the response to the write of its claim was lost:
//!
//! ```
//! use persimmoncroft::coordination::claim::{Attempt, Found, Written};
//! use persimmoncroft::coordination::rendezvous;
//!
//! let members = ["10.0.0.1:7000", "10.0.0.2:7000"];
//! let one = rendezvous::choose("endpoint/e1", members, |address| *address);
//! let other = rendezvous::choose("endpoint/e1", members.into_iter().rev(), |address| *address);
//! assert_eq!(one, other);
//!
//! let mut attempt = Attempt::open();
//! attempt.written(Written::Lost);
//! attempt.found(Found::Own { version: 7 });
//! assert!(attempt.send());
//! assert!(!attempt.send());
//! ```
//!
//! [`Daemon`] connects all components to the network; several daemons can run in one process.

pub mod cli;
pub mod coordination;
pub mod daemon;
pub mod metric;
pub mod protocol;
pub mod serving;
pub mod settings;
pub mod state;
pub mod transport;

pub use daemon::Daemon;
pub use settings::Settings;
