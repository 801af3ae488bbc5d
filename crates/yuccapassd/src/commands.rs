//! Executes the queries and commands of operators.

use std::sync::Arc;

use async_trait::async_trait;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use yuccapass_decisions::change::{Command, ExecuteError, ExecuteOutcome, NextConfig, execute};
use yuccapass_decisions::config::{ActiveConfig, ChunkHash, Manifest, Source};
use yuccapass_decisions::endpoint_health::EndpointPhase;
use yuccapass_decisions::platform_budget::CallRank;
use yuccapass_decisions::rollout::{Progress, ReplicaProgress, RolloutState, Target};
use yuccapass_http::sleep_until;
use yuccapass_operators::{
    Acceptance, CommandHandler, CommandOutcome, ConflictDetails, Query, Refusal, Subject, Table,
    show_document,
};
use yuccapass_platform::{
    Entry, KeyValue, KeyValueClient, PlatformClient, PlatformError, PlatformErrorKind,
    TransactionOutcome,
};
use yuccapass_types::{Deadline, ModelId, ResultCode, Revision};

use crate::fleet::platform_configuration::{manifest_key, swap_manifest, write_chunks};
use crate::fleet::{ConfigurationFetcher, rollouts};
use crate::request_handler::Core;

/// Timeout of a command.
const COMMAND_TIMEOUT_MS: u64 = 10_000;

/// Maximum time that an accepted command waits until its revision is active on all nodes.
const PROPAGATION_TIMEOUT_MS: u64 = 3_000;

/// Pause between checks of the other nodes' revisions, and before a retry after a conflict.
const RETRY_DELAY_MS: u64 = 50;

/// Maximum number of attempts while conflicting commands are committed first.
const MAX_ATTEMPTS: u32 = 8;

/// Answers queries from this node's state, and executes commands on the platform's configuration.
pub(crate) struct Commands {
    pub(crate) core: Arc<Core>,
    pub(crate) fetcher: Arc<ConfigurationFetcher>,
    pub(crate) platform: Option<Arc<PlatformClient>>,
}

/// The platform's manifest entry, and the configuration that it describes.
struct StoredConfiguration {
    entry: Option<Entry>,
    config: Arc<ActiveConfig>,
}

#[async_trait]
impl CommandHandler for Commands {
    async fn query(&self, query: &Query) -> Result<Table, Refusal> {
        let active = self.core.configuration.active();
        match query {
            Query::Rollout(model) => self.rollout(model).await,
            Query::Show { subject, filters } => {
                let mut table = match subject {
                    Subject::Nodes => self.nodes(),
                    Subject::Requests => self.requests(),
                    _ => show_document(&active.config, *subject, filters)
                        .ok_or_else(|| Refusal::new(ResultCode::NotFound))?,
                };
                table.apply_filters(filters);
                Ok(table)
            }
        }
    }

    async fn command(&self, command: Command, dry_run: bool) -> CommandOutcome {
        let Some(platform) = &self.platform else {
            let refusal = Refusal::new(ResultCode::PlatformUnavailable);
            return CommandOutcome::Refused(refusal.detail("this node has no platform address"));
        };
        let key_value = platform.key_value(CallRank::Command);
        let deadline = Deadline::after_ms(self.core.clock.now(), COMMAND_TIMEOUT_MS);
        for _ in 0..MAX_ATTEMPTS {
            match self.try_command(&key_value, &command, dry_run, deadline).await {
                Ok(Some(answer)) => return answer,
                Ok(None) => self.pause(RETRY_DELAY_MS).await,
                Err(error) => return CommandOutcome::Refused(unavailable(&error)),
            }
        }
        let refusal = Refusal::new(ResultCode::Conflict);
        CommandOutcome::Refused(refusal.detail("other commands were faster each time"))
    }
}

impl Commands {
    /// Executes a command on the configuration that the platform holds now; `None` if another
    /// command was committed first.
    ///
    /// After an error, the command has not taken effect.
    async fn try_command(
        &self,
        key_value: &KeyValueClient,
        command: &Command,
        dry_run: bool,
        deadline: Deadline,
    ) -> Result<Option<CommandOutcome>, PlatformError> {
        let Some(stored) = self.read_stored(key_value, deadline).await? else { return Ok(None) };
        let next = match execute(&stored.config, command) {
            Ok(ExecuteOutcome::Write(next)) => next,
            Ok(ExecuteOutcome::Repeated(revision)) => {
                return Ok(Some(self.accepted(command, revision, true, dry_run).await));
            }
            Ok(ExecuteOutcome::Unchanged(revision)) => {
                return Ok(Some(self.accepted(command, revision, false, dry_run).await));
            }
            Err(ExecuteError::Refused { error }) => {
                return Ok(Some(CommandOutcome::Refused(Refusal::from(&error))));
            }
            Err(ExecuteError::Conflict { conflict }) => {
                return Ok(Some(CommandOutcome::Conflict(ConflictDetails::from(&*conflict))));
            }
        };
        if dry_run {
            let revision = next.config.manifest().revision;
            return Ok(Some(self.accepted(command, revision, false, true).await));
        }
        // While the platform is empty, this configuration comes from a file, and none of its chunks
        // is stored.
        let is_first = stored.entry.is_none();
        let is_new = |hash: &ChunkHash| next.new_chunks.iter().any(|(new, _)| new == hash);
        write_chunks(key_value, &next.config, |hash| is_first || is_new(hash), deadline).await?;
        self.commit(key_value, command, &stored, &next, deadline).await
    }

    /// Reads the manifest and activates its configuration on this node; `None` if that has to be
    /// tried again.
    async fn read_stored(
        &self,
        key_value: &KeyValueClient,
        deadline: Deadline,
    ) -> Result<Option<StoredConfiguration>, PlatformError> {
        let entry = key_value.get(&manifest_key(), deadline).await?.entry;
        if let Some(entry) = &entry {
            self.fetcher.offer_manifest(Source::Platform, entry.value.as_bytes()).await;
        }
        let config = Arc::clone(&self.core.configuration.active().config);
        let is_active = entry.as_ref().is_none_or(|entry| {
            Manifest::decode(entry.value.as_bytes())
                .is_ok_and(|manifest| manifest == *config.manifest())
        });
        Ok(is_active.then_some(StoredConfiguration { entry, config }))
    }

    /// Commits a command by replacing the manifest.
    async fn commit(
        &self,
        key_value: &KeyValueClient,
        command: &Command,
        stored: &StoredConfiguration,
        next: &NextConfig,
        deadline: Deadline,
    ) -> Result<Option<CommandOutcome>, PlatformError> {
        let manifest = next.config.manifest();
        match swap_manifest(key_value, stored.entry.as_ref(), manifest, deadline).await {
            Ok(TransactionOutcome::Committed { .. }) => {
                self.fetcher.offer_manifest(Source::Platform, &manifest.encode()).await;
                Ok(Some(self.accepted(command, manifest.revision, false, false).await))
            }
            Ok(TransactionOutcome::Conflict { .. }) => Ok(None),
            Err(error) if error.kind() == PlatformErrorKind::Unknown => {
                Ok(Some(self.read_back(key_value, command, deadline).await))
            }
            Err(error) => Err(error),
        }
    }

    /// Checks whether a command took effect whose commit had an unknown outcome.
    async fn read_back(
        &self,
        key_value: &KeyValueClient,
        command: &Command,
        deadline: Deadline,
    ) -> CommandOutcome {
        let unknown = Refusal::new(ResultCode::CommandOutcomeUnknown);
        let Ok(answer) = key_value.get(&manifest_key(), deadline).await else {
            return CommandOutcome::Unknown(unknown);
        };
        let Some(entry) = answer.entry else { return CommandOutcome::Unknown(unknown) };
        let manifest = Manifest::decode(entry.value.as_bytes()).ok();
        match manifest.as_ref().and_then(|manifest| manifest.command(&command.id)) {
            Some(applied) => {
                let revision = applied.revision;
                self.fetcher.offer_manifest(Source::Platform, entry.value.as_bytes()).await;
                self.accepted(command, revision, false, false).await
            }
            // The write may still take effect later.
            None => CommandOutcome::Unknown(unknown),
        }
    }

    /// Waits until a revision is active on all nodes, but not longer than the timeout, and answers
    /// that the command was accepted.
    async fn accepted(
        &self,
        command: &Command,
        revision: Revision,
        repeated: bool,
        dry_run: bool,
    ) -> CommandOutcome {
        let limit = Deadline::after_ms(self.core.clock.now(), PROPAGATION_TIMEOUT_MS);
        let (mut in_force_nodes, mut known_nodes) = self.core.members.count_at_revision(revision);
        while !dry_run && in_force_nodes < known_nodes && !limit.has_passed(self.core.clock.now()) {
            self.pause(RETRY_DELAY_MS).await;
            (in_force_nodes, known_nodes) = self.core.members.count_at_revision(revision);
        }
        CommandOutcome::Accepted(Acceptance {
            revision,
            description: command.change.to_smolstr(),
            in_force_nodes,
            known_nodes,
            repeated,
            dry_run,
        })
    }

    async fn pause(&self, ms: u64) {
        let deadline = Deadline::after_ms(self.core.clock.now(), ms);
        sleep_until(&*self.core.clock, deadline).await;
    }

    fn nodes(&self) -> Table {
        let columns = ["node", "zone", "state", "revision", "running", "queued", "admin address"];
        let mut table = Table::new(self.core.configuration.revision(), &columns);
        for status in self.core.members.statuses() {
            let row = &status.row;
            table.rows.push(vec![
                row.node.to_smolstr(),
                row.zone.to_smolstr(),
                SmolStr::new(status.state),
                row.revision.to_smolstr(),
                format_smolstr!("{}", row.load.running_requests),
                format_smolstr!("{}", row.load.queued_requests),
                row.admin_address.to_smolstr(),
            ]);
        }
        table
    }

    fn requests(&self) -> Table {
        let columns = ["request", "organisation", "model", "endpoint", "age in ms"];
        let mut table = Table::new(self.core.configuration.revision(), &columns);
        table.rows = self.core.endpoints.running_rows();
        table
    }

    /// Shows which version each replica of a model serves, and the stored progress of its rollout,
    /// which is the same on all nodes.
    async fn rollout(&self, model: &ModelId) -> Result<Table, Refusal> {
        let active = self.core.configuration.active();
        let document = active.document();
        let found = document.model(model).ok_or_else(|| {
            Refusal::new(ResultCode::ModelNotFound).detail(format_smolstr!("there is no {model}"))
        })?;
        let progress = match &self.platform {
            Some(platform) => rollouts::read_progress(platform, model).await,
            None => Ok(None),
        };
        let columns = ["endpoint", "zone", "wanted version", "version", "state", "step", "rollout"];
        let mut table = Table::new(document.revision, &columns);
        let state = rollout_text(&progress);
        let progress = progress.ok().flatten();
        for endpoint in document.endpoints_of(model) {
            let configured = found.version_in(&endpoint.zone);
            let (version, phase) = self.core.endpoints.version_and_phase(endpoint);
            table.finished &= version.as_ref() == Some(configured);
            let step = progress.as_ref().and_then(|progress| progress.step_of(&endpoint.id));
            table.rows.push(vec![
                endpoint.id.to_smolstr(),
                endpoint.zone.to_smolstr(),
                configured.to_smolstr(),
                version.map_or_else(|| SmolStr::new("unknown"), |version| version.to_smolstr()),
                SmolStr::new(phase_name(phase)),
                step.map_or_else(|| SmolStr::new("none"), |step| step.to_smolstr()),
                state.clone(),
            ]);
        }
        let has_configured_target = |progress: &Progress| {
            let is_configured = |replica: &ReplicaProgress| {
                let endpoint = document.endpoint(&replica.endpoint);
                let configured = endpoint.map(|endpoint| found.version_in(&endpoint.zone).clone());
                configured.is_some_and(|version| *progress.target() == Target::Version(version))
            };
            progress.replicas().iter().any(is_configured)
        };
        match progress.as_ref().map(|progress| (progress.state(), has_configured_target(progress)))
        {
            Some((RolloutState::Running | RolloutState::Stopping(_), _)) => table.finished = false,
            // If the target is no longer configured, another rollout follows.
            Some((RolloutState::Stopped(_), is_configured)) => table.finished = is_configured,
            Some((RolloutState::Finished, _)) | None => {}
        }
        Ok(table)
    }
}

/// Describes the state of a rollout, with the reason and the failed replicas if it stopped.
fn rollout_text(progress: &Result<Option<Progress>, PlatformError>) -> SmolStr {
    let progress = match progress {
        Ok(Some(progress)) => progress,
        Ok(None) => return SmolStr::new("none"),
        Err(_) => return SmolStr::new("unknown, the platform does not answer"),
    };
    let target = progress.target();
    let failed = || rollouts::failed_replicas(progress);
    match progress.state() {
        RolloutState::Running => format_smolstr!("{target}: running"),
        RolloutState::Stopping(reason) => {
            format_smolstr!("{target}: stopping, {reason}: {}", failed())
        }
        RolloutState::Stopped(reason) => {
            format_smolstr!("{target}: stopped, {reason}: {}", failed())
        }
        RolloutState::Finished => format_smolstr!("{target}: finished"),
    }
}

fn unavailable(error: &PlatformError) -> Refusal {
    Refusal::new(ResultCode::PlatformUnavailable).detail(error)
}

fn phase_name(phase: EndpointPhase) -> &'static str {
    match phase {
        EndpointPhase::Unknown => "unknown",
        EndpointPhase::Cold => "cold",
        EndpointPhase::Warming => "warming",
        EndpointPhase::Warm => "warm",
        EndpointPhase::Silent => "silent",
        EndpointPhase::Leaving => "leaving",
    }
}
