//! The `plan` subcommand.

use std::path::PathBuf;

use clap::Args;
use yuccapass_standins::load::plan::{PlanConfig, configuration, plan, processes};
use yuccapass_standins::load::workload::Preset;
use yuccapass_types::TokensPerSecond;

/// Writes configuration.json, deployment.json and processes.tsv of a deployment on one machine.
#[derive(Debug, Args)]
pub(crate) struct PlanArguments {
    /// society or association.
    preset: Preset,
    /// Directory of the files.
    directory: PathBuf,
    /// Nodes in each zone.
    #[arg(long, default_value_t = 3)]
    nodes_per_zone: u32,
    /// Engines of the chat model in each of the three zones.
    #[arg(long)]
    engines_per_zone: Option<u32>,
    /// First port.
    #[arg(long, default_value_t = 18400)]
    base_port: u16,
    /// Prefill rate of an engine.
    #[arg(long, default_value = "8000")]
    prefill_tokens_per_s: TokensPerSecond,
    /// Decode time of one token of a stream.
    #[arg(long, default_value_t = 20)]
    token_time_ms: u64,
    /// Blocks in the cache of an engine.
    #[arg(long, default_value_t = 256)]
    cache_capacity_blocks: u64,
    /// How nodes choose endpoints.
    #[arg(long, default_value = "cost")]
    placement: String,
}

/// Writes the files.
pub(crate) fn run(arguments: &PlanArguments) -> crate::Result<()> {
    // The real deployments have 20 and 10 replicas. In three zones this makes 9 and 6 engines,
    // about half of that, which fit one machine together with nine nodes.
    let engines_per_zone = arguments.engines_per_zone.unwrap_or(match arguments.preset {
        Preset::Society => 3,
        Preset::Association => 2,
    });
    let config = PlanConfig {
        preset: arguments.preset,
        nodes_per_zone: arguments.nodes_per_zone,
        engines_per_zone,
        base_port: arguments.base_port,
        prefill_rate: arguments.prefill_tokens_per_s,
        token_time_ms: arguments.token_time_ms,
        cache_capacity_blocks: arguments.cache_capacity_blocks,
        placement: arguments.placement.clone(),
    };
    let deployment = plan(&config);
    let file = |name: &str| arguments.directory.join(name);
    let configuration_path = file("configuration.json");
    let document = serde_json::to_string_pretty(&configuration(&deployment))?;
    std::fs::write(&configuration_path, document)?;
    std::fs::write(file("deployment.json"), serde_json::to_string_pretty(&deployment)?)?;
    let path = configuration_path.display().to_string();
    std::fs::write(file("processes.tsv"), processes(&config, &deployment, &path))?;
    Ok(())
}
