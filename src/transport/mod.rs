//! Network I/O: clients of endpoints and the platform's services, and communication between daemons.

pub mod account;
pub mod body;
pub mod exchange;
pub mod gossip;
pub mod http;
mod metered;
pub mod partition;
pub mod peer;
pub mod platform;
pub mod table;
