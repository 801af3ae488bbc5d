//! The load and experiment tool.
//!
//! It sends requests to running nodes over the callers' interface, checks every answer, and writes
//! reports. It starts no process.
//!
//! * [`workload`]: presets and their settings.
//! * [`schedule`]: the requests, computed from settings and a seed.
//! * [`conversation`]: prompts that grow turn by turn. [`expectation`]: the correct answers.
//! * [`caller`]: one request over HTTP. [`drive`]: all requests, open loop.
//! * [`record`], [`check`]: what happened to each request, and checks for violations.
//! * [`engines`]: clients that read the journals and counts of the engine stand-ins.
//! * [`fault_script`], [`fault_injection`]: faults that are injected at given times.
//! * [`summary`], [`report_text`], [`chart`], [`compare`]: reports.
//! * [`plan`]: a deployment scaled to one machine; `scripts/deployment` starts it.

pub mod caller;
pub mod chart;
pub mod check;
pub mod compare;
pub mod conversation;
pub mod drive;
pub mod engines;
pub mod expectation;
pub mod fault_injection;
pub mod fault_script;
pub mod plan;
pub mod record;
pub mod report_text;
pub mod schedule;
pub mod summary;
pub mod workload;
