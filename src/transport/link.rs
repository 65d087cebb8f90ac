//! Simulated network partitions for tests and trials.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::RwLock;

/// Set of blocked addresses, shared by clones. Calls to a blocked address get no response.
#[derive(Debug, Clone, Default)]
pub struct Link {
    blocked: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Link {
    /// Blocks an address.
    ///
    /// ```
    /// use persimmoncroft::transport::link::Link;
    /// let link = Link::default();
    /// let address = "127.0.0.1:80".parse().unwrap();
    /// link.block(address);
    /// assert!(!link.open(address));
    /// link.unblock(address);
    /// assert!(link.open(address));
    /// ```
    pub fn block(&self, address: SocketAddr) {
        self.blocked.write().insert(address);
    }

    /// Unblocks an address.
    pub fn unblock(&self, address: SocketAddr) {
        self.blocked.write().remove(&address);
    }

    /// Returns whether an address is reachable.
    pub fn open(&self, address: SocketAddr) -> bool {
        !self.blocked.read().contains(&address)
    }

    /// Returns immediately if an address is reachable, and never otherwise.
    pub async fn pass(&self, address: SocketAddr) {
        if !self.open(address) {
            std::future::pending::<()>().await;
        }
    }
}
