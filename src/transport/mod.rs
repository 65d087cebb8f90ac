//! Sockets: HTTP clients, the platform's services, endpoints and peers.

pub mod exchange;
pub mod gossip;
pub mod http;
pub mod link;
pub mod peer;
pub mod platform;
pub mod table;
