//! Load and experiment tool: runs real daemons and stand-ins in one process, injects faults and reports the results.

pub mod bench;
pub mod caller;
pub mod capacity;
pub mod fleet;
pub mod operator;
pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
pub mod scenario;
pub mod site;
pub mod verdict;
