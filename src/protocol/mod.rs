//! Message types and their codecs, without I/O.

pub mod caller;
pub mod connection;
pub mod digest;
pub mod engine;
pub mod hop;
pub mod operator;
pub mod peer;
pub mod permit;
pub mod seat;
pub mod sse;
pub mod table;
