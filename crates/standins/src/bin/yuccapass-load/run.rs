//! The `run` subcommand.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Instant;

use async_std::task;
use clap::Args;
use yuccapass_standins::load::caller::HttpCaller;
use yuccapass_standins::load::chart::chart_svg;
use yuccapass_standins::load::check::check_journals;
use yuccapass_standins::load::drive::{Driver, RunConfig};
use yuccapass_standins::load::engines::EngineClients;
use yuccapass_standins::load::fault_injection::{LocalFaultInjector, apply_script};
use yuccapass_standins::load::fault_script::{FaultEntry, FaultStep, parse_script};
use yuccapass_standins::load::plan::Deployment;
use yuccapass_standins::load::report_text::report_text;
use yuccapass_standins::load::schedule::plan_turns;
use yuccapass_standins::load::summary::{Report, summarise};
use yuccapass_standins::load::workload::{Preset, Workload};
use yuccapass_types::{Clock, MonotonicClock, RequestsPerSecond, WeightVersion};

/// Sends requests to nodes and checks the answers; exits with 2 on a violation.
#[derive(Debug, Args)]
pub(crate) struct RunArguments {
    /// society or association; taken from the deployment file if absent.
    #[arg(long)]
    preset: Option<Preset>,
    /// File with all addresses, as `plan` writes it.
    #[arg(long)]
    deployment: Option<PathBuf>,
    /// Caller address of a node; requests are spread over all given nodes.
    #[arg(long = "node")]
    nodes: Vec<SocketAddr>,
    /// Address of an engine stand-in, for journals and counts.
    #[arg(long = "engine")]
    engines: Vec<SocketAddr>,
    /// Seed of the requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prefix of all markers and idempotency keys; each run against the same deployment needs its
    /// own.
    #[arg(long)]
    run_id: Option<String>,
    /// Weight version that may answer.
    #[arg(long = "version", default_value = "v1")]
    versions: Vec<WeightVersion>,
    /// Fault script: a JSON file with faults and the times at which they are injected.
    #[arg(long)]
    faults: Option<PathBuf>,
    /// Process that a fault script may send signals to, as name=pid.
    #[arg(long = "process", value_parser = parse_process)]
    processes: Vec<(String, i32)>,
    /// File for the report as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// File for a chart of goodput and time to first token, as SVG.
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Rate as a multiple of the capacity in the deployment file.
    #[arg(long, conflicts_with = "rate", requires = "deployment")]
    load_factor: Option<f64>,
    #[command(flatten)]
    settings: SettingArguments,
}

/// Settings that replace those of the preset.
#[derive(Debug, Args)]
struct SettingArguments {
    /// Mean rate of requests.
    #[arg(long)]
    rate: Option<RequestsPerSecond>,
    /// Time in which requests are sent.
    #[arg(long)]
    duration_ms: Option<u64>,
    /// Mean gap between two turns of a conversation.
    #[arg(long)]
    return_gap_ms: Option<u64>,
    /// Share of requests that continue a conversation, if one is due.
    #[arg(long)]
    return_percent: Option<u32>,
    /// Share of conversations with the ledger model.
    #[arg(long)]
    ledger_percent: Option<u32>,
    /// Share of requests to the ledger model that are not repeatable.
    #[arg(long)]
    not_repeatable_percent: Option<u32>,
    /// Share of not repeatable requests that are sent again to another node.
    #[arg(long)]
    resend_percent: Option<u32>,
    /// Time from the start of one burst to the next; 0 means no bursts.
    #[arg(long)]
    burst_period_ms: Option<u64>,
    /// Rate within a burst as a multiple of the rate between bursts.
    #[arg(long)]
    burst_factor: Option<u32>,
}

impl SettingArguments {
    fn apply(&self, workload: &mut Workload) {
        fn set<T: Copy>(field: &mut T, value: Option<T>) {
            *field = value.unwrap_or(*field);
        }
        set(&mut workload.rate, self.rate);
        set(&mut workload.duration_ms, self.duration_ms);
        set(&mut workload.return_gap_ms, self.return_gap_ms);
        set(&mut workload.return_percent, self.return_percent);
        set(&mut workload.ledger_percent, self.ledger_percent);
        set(&mut workload.not_repeatable_percent, self.not_repeatable_percent);
        set(&mut workload.resend_percent, self.resend_percent);
        set(&mut workload.burst_period_ms, self.burst_period_ms);
        set(&mut workload.burst_factor, self.burst_factor);
    }
}

fn parse_process(text: &str) -> Result<(String, i32), String> {
    let (name, id) = text.split_once('=').ok_or("the form is name=pid")?;
    match id.parse() {
        Ok(id) if id > 1 => Ok((name.to_owned(), id)),
        _ => Err(format!("{id:?} is no process id")),
    }
}

/// Runs the load and writes the report; returns whether there were no violations.
pub(crate) async fn run(arguments: RunArguments) -> crate::Result<bool> {
    let deployment = read_deployment(arguments.deployment.as_deref())?;
    let (nodes, engine_addresses) = addresses(&arguments, deployment.as_ref());
    if nodes.is_empty() {
        return Err("no node is given, use --node or --deployment".into());
    }
    let workload = workload(&arguments, deployment.as_ref())?;
    let script = read_script(&arguments)?;
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let engines = EngineClients::new(&engine_addresses, Arc::clone(&clock));
    let run_id = arguments.run_id.clone().unwrap_or_else(|| format!("s{}", arguments.seed));
    check_run_id_unused(&engines, &run_id).await?;
    let before = engines.read_counts().await;
    let turns = plan_turns(&workload, arguments.seed);
    let start = Instant::now();
    let caller = Arc::new(HttpCaller::new(&nodes, Arc::clone(&clock), start));
    let config = RunConfig {
        workload: workload.clone(),
        seed: arguments.seed,
        run_id: run_id.clone(),
        versions: arguments.versions.clone(),
        node_count: nodes.len(),
        expects_broken_connections: script.iter().any(is_signal),
    };
    let injector = Arc::new(LocalFaultInjector {
        addresses: deployment.iter().flat_map(Deployment::addresses).collect(),
        processes: arguments.processes.iter().cloned().collect(),
        run_id,
        clock,
    });
    let fault_task = task::spawn(apply_script(injector, script, start));
    let mut output = Driver::new(config, caller, start).run(turns).await;
    let faults = fault_task.await;
    let (entries, journal_violations) = engines.read_journals().await;
    let engine_counts = engines.read_counts().await.since(before);
    let mut report = summarise(arguments.seed, &workload, &output.records, engine_counts);
    report.faults = faults;
    report.violations.append(&mut output.violations);
    report.violations.extend(journal_violations);
    report.violations.extend(check_journals(&output.records, &entries));
    write_report(&arguments, &report)?;
    Ok(report.violations.is_empty())
}

fn is_signal(entry: &FaultEntry) -> bool {
    matches!(entry.action, FaultStep::Signal { .. })
}

fn read_deployment(path: Option<&Path>) -> crate::Result<Option<Deployment>> {
    let Some(path) = path else { return Ok(None) };
    Ok(Some(serde_json::from_slice(&std::fs::read(path)?)?))
}

fn read_script(arguments: &RunArguments) -> crate::Result<Vec<FaultEntry>> {
    let Some(path) = &arguments.faults else { return Ok(Vec::new()) };
    let names: Vec<String> = arguments.processes.iter().map(|(name, _)| name.clone()).collect();
    Ok(parse_script(&std::fs::read_to_string(path)?, &names)?)
}

fn addresses(
    arguments: &RunArguments,
    deployment: Option<&Deployment>,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let (mut nodes, mut engines) = (arguments.nodes.clone(), arguments.engines.clone());
    if let Some(deployment) = deployment {
        nodes.extend(deployment.nodes.iter().map(|node| node.address));
        engines.extend(deployment.engines.iter().map(|engine| engine.address));
    }
    (nodes, engines)
}

fn workload(arguments: &RunArguments, deployment: Option<&Deployment>) -> crate::Result<Workload> {
    let preset = arguments.preset.or(deployment.map(|deployment| deployment.preset));
    let mut workload = Workload::preset(preset.ok_or("no preset is given")?);
    arguments.settings.apply(&mut workload);
    if let (Some(factor), Some(deployment)) = (arguments.load_factor, deployment) {
        let rate = factor * deployment.capacity_mrps as f64 / 1000.0;
        workload.rate = RequestsPerSecond::new(rate.round().max(1.0) as u64);
    }
    Ok(workload)
}

/// Fails if the engines' journals have entries of an earlier run with the same id, which the checks
/// would mistake for runs of this one.
async fn check_run_id_unused(engines: &EngineClients, run_id: &str) -> crate::Result<()> {
    let (entries, _) = engines.read_journals().await;
    let prefix = format!("{run_id}-");
    match entries.iter().any(|entry| entry.run.marker.starts_with(&prefix)) {
        true => Err(format!("run id {run_id} was used before, choose another --run-id").into()),
        false => Ok(()),
    }
}

fn write_report(arguments: &RunArguments, report: &Report) -> crate::Result<()> {
    print!("{}", report_text(report));
    if let Some(path) = &arguments.json {
        std::fs::write(path, serde_json::to_string_pretty(report)?)?;
    }
    if let Some(path) = &arguments.svg {
        std::fs::write(path, chart_svg(report)?)?;
    }
    Ok(())
}
