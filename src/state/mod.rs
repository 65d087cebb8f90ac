//! Data types and their invariants, such as records and configuration snapshots, without I/O.

pub mod call;
pub mod catalog;
pub mod check;
pub mod config;
pub mod decision;
pub mod demand;
pub mod difference;
pub mod document;
pub mod member;
pub mod mirror;
pub mod record;
pub mod registry;
pub mod row;
pub mod schema;
