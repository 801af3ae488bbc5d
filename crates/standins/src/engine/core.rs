//! The engine's state and decisions, without threads, clock and HTTP.

use serde::{Deserialize, Serialize};
use yuccapass_endpoints::{
    BlockListing, CacheEventBatch, ChecksummedBlock, EndpointState, LoadReport, Order,
};
use yuccapass_types::{
    AdapterId, BLOCK_PROMPT_BYTES, BlockHash, CacheSalt, Incarnation, Instant, RequestId,
    SortedMap, Tokens, WeightVersion, block_hash_chain,
};

use super::answer::AnswerSource;
use super::cache::{CacheChange, PrefixCache};
use super::config::EngineConfig;
use super::events::EventLog;
use super::faults::{FaultAction, Faults};
use super::load_history::LoadHistory;
use super::payload::{block_payload, payload_position};
use super::scheduler::{RunId, Scheduler};
use super::serving_state::{OrderProgress, OrderTimes, ServingState};
use super::started_run::StartedRun;
use super::warm_up::WarmUp;
use crate::journal::{Journal, JournalListing, marker_of};
use crate::seeded_random;

/// Prompt bytes per token.
const TOKEN_PROMPT_BYTES: u64 = 4;

/// The digest of an answer that was computed from a cached block with an unexpected payload, such
/// as that of another block or weight version.
const WRONG_BLOCK_DIGEST: &str = "wrongblock";

/// A request to run.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The request's id.
    pub request_id: RequestId,
    /// The number of the attempt.
    pub attempt: String,
    /// Requests with a larger priority run first.
    pub priority: i32,
    /// Salt of the prefix cache.
    pub salt: CacheSalt,
    /// The version that must be active, if the request names one.
    pub version: Option<WeightVersion>,
    /// The adapter to apply.
    pub adapter: Option<AdapterId>,
    /// Tokens that earlier attempts delivered.
    pub resume_offset: Tokens,
    /// The prompt.
    pub prompt: Vec<u8>,
}

/// Why a request is refused; a refused request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The version or adapter that the request names is not active.
    WrongVersion,
    /// The queue is full.
    Overloaded,
    /// The engine is leaving service and accepts no new requests.
    Leaving,
}

/// Why a request was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// It was refused.
    Refused(Refusal),
    /// The engine crashed or is restarting, so there is no response.
    Crashed,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer was sent to its end.
    Completed,
    /// The run was cancelled, its client disconnected or its deadline passed.
    Cancelled,
}

/// A notification from the engine to the stream of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunSignal {
    /// Prefill is complete; each token of the answer starts with the given digest.
    Decode(RunId, String),
    /// The run was cancelled.
    Cancelled(RunId),
    /// The engine crashed.
    Crashed(RunId),
}

/// Counts since the program started; a crash does not reset them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests that reached the engine.
    pub received_requests: u64,
    /// Answers that were sent to their end.
    pub completed_answers: u64,
    /// Runs that were cancelled, whose client disconnected or whose deadline passed.
    pub cancelled_runs: u64,
    /// Requests that were refused.
    pub refused_requests: u64,
    /// How often the engine crashed.
    pub crashes: u64,
    /// Prompt tokens of the started runs, without the answer tokens of earlier attempts.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the cache.
    pub cached_prompt_tokens: u64,
}

#[derive(Debug)]
struct Run {
    request: RunRequest,
    version: WeightVersion,
    chain: Vec<BlockHash>,
    digest: String,
}

/// The state of an engine.
#[derive(Debug)]
pub struct EngineCore {
    config: EngineConfig,
    faults: Faults,
    incarnation: Incarnation,
    restart_end: Instant,
    scheduler: Scheduler,
    runs: SortedMap<RunId, Run>,
    cache: PrefixCache,
    events: EventLog,
    serving_state: ServingState,
    warm_up: WarmUp,
    load_history: LoadHistory,
    journal: Journal<StartedRun>,
    stats: EngineStats,
    signals: Vec<RunSignal>,
}

impl EngineCore {
    /// Starts an engine.
    pub fn new(config: EngineConfig, now: Instant) -> Self {
        let is_cold = config.starts_cold && config.cold_requests > 0;
        let mut core = Self {
            faults: config.faults.clone(),
            incarnation: Incarnation::new(1),
            restart_end: now,
            scheduler: Scheduler::new(
                config.max_running_requests as usize,
                config.prefill_rate,
                now,
            ),
            runs: SortedMap::new(),
            cache: PrefixCache::new(config.cache_capacity_blocks),
            events: EventLog::new(config.event_lag_ms, config.max_kept_events),
            serving_state: ServingState::new(config.version.clone(), config.checks_fencing),
            warm_up: WarmUp::new(config.warm_up_ms, is_cold),
            load_history: LoadHistory::new(config.load_lag_ms),
            journal: Journal::new(config.max_journal_entries),
            stats: EngineStats::default(),
            signals: Vec::new(),
            config,
        };
        core.record_load(now);
        core
    }

    /// Sets the incarnation, which is 1 by default.
    pub fn set_incarnation(&mut self, incarnation: Incarnation, now: Instant) {
        self.incarnation = incarnation;
        self.record_load(now);
    }

    /// Queues a request, and starts it if the batch has a free slot.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused, if the engine is restarting, or if the request crashes it.
    pub fn submit(
        &mut self,
        run: RunId,
        request: RunRequest,
        now: Instant,
    ) -> Result<(), SubmitError> {
        self.advance(now);
        self.stats.received_requests += 1;
        if self.is_restarting(now) {
            return Err(SubmitError::Crashed);
        }
        let version = self.version_for(&request).map_err(|refusal| {
            self.stats.refused_requests += 1;
            SubmitError::Refused(refusal)
        })?;
        if self.warm_up.is_cold() && self.runs.len() >= self.config.cold_requests as usize {
            self.crash(now);
            return Err(SubmitError::Crashed);
        }
        let chain = block_hash_chain(request.salt, &request.prompt);
        self.scheduler.enqueue(run, request.priority);
        self.runs.insert(run, Run { request, version, chain, digest: String::new() });
        let incarnation = self.incarnation;
        self.advance(now);
        // A prompt with the crash marker crashes the engine as soon as its run starts.
        if incarnation == self.incarnation { Ok(()) } else { Err(SubmitError::Crashed) }
    }

    /// Counts a request that could not be parsed.
    pub fn record_invalid_request(&mut self) {
        self.stats.received_requests += 1;
        self.stats.refused_requests += 1;
    }

    /// Returns the weight version that a request runs on, or why the request is refused.
    fn version_for(&self, request: &RunRequest) -> Result<WeightVersion, Refusal> {
        if self.serving_state.is_leaving() {
            return Err(Refusal::Leaving);
        }
        let active = self.serving_state.active_version().ok_or(Refusal::WrongVersion)?;
        if request.version.as_ref().is_some_and(|version| version != active) {
            return Err(Refusal::WrongVersion);
        }
        if let Some(adapter) = &request.adapter
            && !self.serving_state.adapters().contains(adapter)
        {
            return Err(Refusal::WrongVersion);
        }
        if self.scheduler.queued_count() >= self.config.max_queued_requests as usize {
            return Err(Refusal::Overloaded);
        }
        Ok(active.clone())
    }

    /// Brings the state up to `now`: completes swaps and prefills and starts queued runs.
    pub fn advance(&mut self, now: Instant) {
        if self.serving_state.advance(now) {
            // New requests cannot use blocks of the old version.
            let changes = self.cache.clear();
            self.publish(changes, now);
        }
        loop {
            self.start_runs(now);
            let complete = self.scheduler.advance(now);
            if complete.is_empty() {
                break;
            }
            complete.into_iter().for_each(|run| self.complete_prefill(run, now));
        }
        self.warm_up.update(self.scheduler.running_count() > 0, now);
        self.record_load(now);
    }

    fn start_runs(&mut self, now: Instant) {
        while let Some(id) = self.scheduler.start_next() {
            let Some(run) = self.runs.get_mut(&id) else { continue };
            let cached = self.cache.match_prefix(&run.chain);
            let has_unexpected_payload = run.chain[..cached].iter().any(|block| {
                self.cache.get(block).is_some_and(|cached| cached.unexpected_payload.is_some())
            });
            run.digest = match has_unexpected_payload {
                true => WRONG_BLOCK_DIGEST.to_owned(),
                false => run.answer_source().digest(),
            };
            let prompt_tokens = (run.request.prompt.len() as u64).div_ceil(TOKEN_PROMPT_BYTES);
            let cached_tokens = (cached * BLOCK_PROMPT_BYTES) as u64 / TOKEN_PROMPT_BYTES;
            self.stats.prompt_tokens += prompt_tokens;
            self.stats.cached_prompt_tokens += cached_tokens;
            // A resumed run also computes the answer tokens of earlier attempts. The last prompt
            // token is always computed, since decoding starts from it.
            let resumed_tokens = run.request.resume_offset.get();
            let tokens = (prompt_tokens - cached_tokens).max(1).saturating_add(resumed_tokens);
            self.scheduler.start_prefill(id, Tokens::new(tokens), self.faults.slow_factor);
            self.journal.add(run.journal_entry(self.incarnation));
            if run.has_marker(self.faults.crash_marker.as_deref()) {
                self.crash(now);
                return;
            }
        }
    }

    fn complete_prefill(&mut self, id: RunId, now: Instant) {
        let Some(run) = self.runs.get(&id) else { return };
        let changes = match run.version == *self.serving_state.loaded_version() {
            true => self.cache.store_chain(&run.chain),
            false => Vec::new(),
        };
        self.signals.push(RunSignal::Decode(id, run.digest.clone()));
        self.publish(changes, now);
    }

    /// Ends a run; does nothing if it has ended already.
    pub fn finish(&mut self, run: RunId, end: RunEnd, now: Instant) {
        self.advance(now);
        if let Some(removed) = self.runs.remove(&run) {
            self.scheduler.remove(run, removed.request.priority);
            match end {
                RunEnd::Completed => self.stats.completed_answers += 1,
                RunEnd::Cancelled => self.stats.cancelled_runs += 1,
            }
            self.advance(now);
        }
    }

    /// Cancels all runs of a request.
    pub fn cancel(&mut self, request_id: &RequestId, now: Instant) {
        let of_request = self.runs.iter().filter(|(_, run)| run.request.request_id == *request_id);
        let ids: Vec<RunId> = of_request.map(|(id, _)| *id).collect();
        for id in ids {
            self.finish(id, RunEnd::Cancelled, now);
            self.signals.push(RunSignal::Cancelled(id));
        }
    }

    /// Crashes the engine: starts a new incarnation without runs and cache, but with the journal,
    /// the counts and the faults of the old one.
    pub fn crash(&mut self, now: Instant) {
        // A stream that was cancelled just before the crash still has to be notified.
        self.signals.retain(|signal| matches!(signal, RunSignal::Cancelled(_)));
        self.signals.extend(self.runs.keys().map(|run| RunSignal::Crashed(*run)));
        let mut next = Self::new(self.config.clone(), now);
        next.incarnation = self.incarnation.next();
        next.faults = self.faults.clone();
        next.restart_end = Instant::from_ms(now.as_ms() + self.config.restart_ms);
        next.warm_up = WarmUp::new(self.config.warm_up_ms, self.config.cold_requests > 0);
        next.stats = EngineStats { crashes: self.stats.crashes + 1, ..self.stats };
        std::mem::swap(&mut next.journal, &mut self.journal);
        std::mem::swap(&mut next.signals, &mut self.signals);
        *self = next;
        self.load_history = LoadHistory::new(self.config.load_lag_ms);
        self.record_load(now);
    }

    /// Triggers a one-time fault; silencing connections does not affect the engine's state.
    pub fn trigger_fault(&mut self, action: FaultAction, now: Instant) {
        match action {
            FaultAction::Crash => self.crash(now),
            FaultAction::FallBackToCold => {
                let changes = self.cache.clear();
                self.publish(changes, now);
                self.warm_up = WarmUp::new(self.config.warm_up_ms, self.config.cold_requests > 0);
                self.advance(now);
            }
            FaultAction::SilenceConnections => {}
        }
    }

    /// Replaces the set of faults.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the faults that are on.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Starts an order; returns false if its fencing number is refused.
    pub fn start_order(&mut self, order: &Order, now: Instant) -> bool {
        self.advance(now);
        // Replicas that swap at the same time share the bandwidth of the weight store, so more than
        // the limit take proportionally longer.
        let sharing = u64::from(self.faults.swapping_replicas);
        let limit = u64::from(self.config.max_swapping_replicas.max(1));
        let swap_ms = self.config.swap_ms * sharing.max(limit) / limit;
        let times = OrderTimes { swap_ms, adapter_load_ms: self.config.adapter_load_ms };
        let is_accepted = self.serving_state.start(order, times, now);
        self.advance(now);
        is_accepted
    }

    pub(crate) fn order_progress(&mut self, order: &Order, now: Instant) -> OrderProgress {
        self.advance(now);
        self.serving_state.progress(order)
    }

    /// Returns a cached block for export; the second half of a torn one is zeroed, so that it does
    /// not match its checksum.
    pub fn export_block(&self, block: BlockHash) -> Option<ChecksummedBlock> {
        let cached = self.cache.get(&block)?;
        let payload = match &cached.unexpected_payload {
            Some(payload) => payload.clone(),
            None => self.payload(block, cached.position_blocks),
        };
        let mut exported = ChecksummedBlock::new(block, cached.generation, payload);
        let key = format!("{block}/{}", cached.generation);
        if seeded_random(self.config.seed, "torn", &key) < self.faults.torn_block_probability {
            let half = exported.payload.len() / 2;
            exported.payload[half..].fill(0);
        }
        Some(exported)
    }

    /// Stores an imported block; returns false if its payload is too short or does not match its
    /// checksum.
    pub fn import_block(&mut self, block: ChecksummedBlock, now: Instant) -> bool {
        let Some(position_blocks) = payload_position(&block.payload) else { return false };
        if !block.is_intact() {
            return false;
        }
        let is_expected = self.payload(block.hash, position_blocks) == block.payload;
        let unexpected_payload = (!is_expected).then_some(block.payload);
        let changes = self.cache.store(block.hash, position_blocks, unexpected_payload);
        self.publish(changes, now);
        true
    }

    fn payload(&self, block: BlockHash, position_blocks: u32) -> Vec<u8> {
        let version = self.serving_state.loaded_version();
        block_payload(block, position_blocks, version, self.config.block_payload_bytes)
    }

    /// Returns the load report that is visible now.
    pub fn load_report(&mut self, now: Instant) -> LoadReport {
        self.advance(now);
        self.load_history.visible(now).unwrap_or_else(|| self.current_load())
    }

    /// Returns the cache events after a number that are published by now.
    pub fn cache_events(&self, after_sequence: u64, now: Instant) -> CacheEventBatch {
        let events = self.events.after(after_sequence, now);
        CacheEventBatch { incarnation: self.incarnation, events }
    }

    /// Returns all cached blocks.
    pub fn block_listing(&self) -> BlockListing {
        BlockListing {
            incarnation: self.incarnation,
            sequence: self.events.last_sequence(),
            blocks: self.cache.listing(),
        }
    }

    /// Returns the journal of started runs.
    pub fn journal(&self) -> JournalListing<StartedRun> {
        self.journal.listing()
    }

    /// Returns the counts since the program started.
    pub fn stats(&self) -> EngineStats {
        self.stats
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the engine is still restarting after a crash.
    pub fn is_restarting(&self, now: Instant) -> bool {
        now < self.restart_end
    }

    /// Returns the signals for the streams since the last call.
    pub fn take_signals(&mut self) -> Vec<RunSignal> {
        std::mem::take(&mut self.signals)
    }

    /// Returns when [`EngineCore::advance`] has something to do next.
    pub fn next_change(&self) -> Option<Instant> {
        let prefill = self.scheduler.next_completion();
        prefill.into_iter().chain(self.serving_state.next_change()).min()
    }

    fn publish(&mut self, changes: Vec<CacheChange>, now: Instant) {
        let (seed, incarnation) = (self.config.seed, self.incarnation);
        let probability = self.faults.lost_event_probability;
        for change in changes {
            self.events.add(change, now, |sequence| {
                seeded_random(seed, "lost", &format!("{incarnation}/{sequence}")) < probability
            });
        }
    }

    fn record_load(&mut self, now: Instant) {
        let report = self.current_load();
        self.load_history.add(report, now);
    }

    fn current_load(&self) -> LoadReport {
        let is_cold = self.warm_up.is_cold();
        let sustainable_requests = match is_cold {
            true => self.config.cold_requests,
            false => self.config.max_running_requests,
        };
        let queued = self.runs.values().filter(|run| run.digest.is_empty());
        let queued_tokens = queued
            .map(|run| Tokens::new((run.request.prompt.len() as u64).div_ceil(TOKEN_PROMPT_BYTES)));
        LoadReport {
            incarnation: self.incarnation,
            state: match (self.serving_state.is_leaving(), is_cold) {
                (true, _) => EndpointState::Leaving,
                (false, true) => EndpointState::Cold,
                (false, false) => EndpointState::Warm,
            },
            version: self.serving_state.loaded_version().clone(),
            adapters: self.serving_state.adapters().to_vec(),
            running_requests: self.scheduler.running_count() as u32,
            queued_requests: self.scheduler.queued_count() as u32,
            queued_prefill_tokens: queued_tokens.sum::<Tokens>()
                + self.scheduler.remaining_prefill(),
            max_running_requests: self.config.max_running_requests,
            sustainable_requests,
            prefill_tokens_per_s: self.config.prefill_rate.get(),
            decode_tokens_per_s: 1_000 / self.config.token_time_ms.max(1),
            cache_capacity_blocks: self.config.cache_capacity_blocks as u32,
            age_ms: 0,
        }
    }
}

impl Run {
    fn answer_source(&self) -> AnswerSource<'_> {
        AnswerSource {
            salt: self.request.salt,
            version: &self.version,
            adapter: self.request.adapter.as_ref(),
            prompt: &self.request.prompt,
        }
    }

    fn journal_entry(&self, incarnation: Incarnation) -> StartedRun {
        StartedRun {
            request_id: self.request.request_id.to_string(),
            attempt: self.request.attempt.clone(),
            marker: marker_of(&self.request.prompt),
            resume_offset_tokens: self.request.resume_offset.get(),
            incarnation,
        }
    }

    fn has_marker(&self, marker: Option<&str>) -> bool {
        let Some(marker) = marker.filter(|marker| !marker.is_empty()) else { return false };
        self.request.prompt.windows(marker.len()).any(|window| window == marker.as_bytes())
    }
}
