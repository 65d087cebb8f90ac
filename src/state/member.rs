//! Live daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::record::Name;

/// A daemon known to be alive.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct Member {
    /// Address of the daemon's peer listener.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: Name,
    /// Identifier of the daemon's process; empty until a message from it has been received.
    pub session: Arc<str>,
    /// Whether the daemon is shutting down and takes no new duties.
    pub leaving: bool,
}
