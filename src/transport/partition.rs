//! Simulated network partitions for tests and trials.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::RwLock;

/// Set of blocked addresses, shared by clones. Calls to a blocked address get no response.
#[derive(Debug, Clone, Default)]
pub struct Partition {
    blocked: Arc<RwLock<HashSet<SocketAddr>>>,
}

impl Partition {
    /// Blocks an address.
    ///
    /// ```
    /// use persimmoncroft::transport::partition::Partition;
    /// let partition = Partition::default();
    /// let address = "127.0.0.1:80".parse().unwrap();
    /// partition.block(address);
    /// assert!(!partition.is_reachable(address));
    /// partition.unblock(address);
    /// assert!(partition.is_reachable(address));
    /// ```
    pub fn block(&self, address: SocketAddr) {
        self.blocked.write().insert(address);
    }

    /// Unblocks an address.
    pub fn unblock(&self, address: SocketAddr) {
        self.blocked.write().remove(&address);
    }

    /// Returns whether an address is reachable.
    pub fn is_reachable(&self, address: SocketAddr) -> bool {
        !self.blocked.read().contains(&address)
    }

    /// Returns immediately if an address is reachable, and never otherwise.
    pub async fn wait_until_reachable(&self, address: SocketAddr) {
        if !self.is_reachable(address) {
            std::future::pending::<()>().await;
        }
    }
}
