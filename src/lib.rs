//! Coordination parts for serving many models on few accelerators.
//!
//! The parts in [`coordination`] decide and do nothing else: they take the state, an event and the time, and can be
//! embedded without the daemon. Here two daemons agree on who keeps a duty, and a call that may not be repeated
//! is sent once although the answer of its claim write got lost:
//!
//! ```
//! use persimmoncroft::coordination::claim::{Attempt, Found, Written};
//! use persimmoncroft::coordination::home;
//!
//! let members = ["10.0.0.1:7000", "10.0.0.2:7000"];
//! let one = home::choose("endpoint/e1", members, |address| *address);
//! let other = home::choose("endpoint/e1", members.into_iter().rev(), |address| *address);
//! assert_eq!(one, other);
//!
//! let mut attempt = Attempt::open();
//! attempt.written(Written::Lost);
//! attempt.found(Found::Own { version: 7 });
//! assert!(attempt.send());
//! assert!(!attempt.send());
//! ```
//!
//! [`Daemon`] wires all parts to sockets; several of them can run in one process.

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
