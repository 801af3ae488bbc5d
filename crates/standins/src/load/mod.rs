//! The load and experiment tool.
//!
//! It drives running nodes over the callers' interface, checks every answer, and reports. It starts
//! no process.
//!
//! * [`workload`]: presets and their settings. [`schedule`]: from settings and a seed to requests.
//! * [`conversation`]: prompts that grow turn by turn. [`expect`]: the answers that are right.
//! * [`caller`]: one request over HTTP. [`drive`]: all requests, open loop.
//! * [`record`], [`check`]: what happened to each request, and what may not happen.
//! * [`engines`]: journals and counts of the engine stand-ins.
//! * [`fault_script`], [`apply_faults`]: failures by time.
//! * [`summary`], [`report_text`], [`chart`], [`compare`]: reports.
//! * [`plan`]: a deployment scaled to one machine, which a script starts.

pub mod apply_faults;
pub mod caller;
pub mod chart;
pub mod check;
pub mod compare;
pub mod conversation;
pub mod drive;
pub mod engines;
pub mod expect;
pub mod fault_script;
pub mod plan;
pub mod record;
pub mod report_text;
pub mod schedule;
pub mod summary;
pub mod workload;
