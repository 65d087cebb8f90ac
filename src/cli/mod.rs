//! Code shared by the programs: logging, record files, the operator API client and its output.

pub mod client;
pub mod command;
pub mod error;
pub mod line;
pub mod log;
pub mod options;
pub mod program;
pub mod records;
pub mod settings;
pub mod show;
pub mod summary;
pub mod timeline;
