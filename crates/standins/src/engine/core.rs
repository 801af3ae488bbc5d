//! The engine without threads, time and HTTP.

use serde::{Deserialize, Serialize};
use yuccapass_endpoints::{
    BlockListing, CacheEventBatch, ChecksummedBlock, EndpointState, LoadReport, Order,
};
use yuccapass_types::{
    AdapterId, BLOCK_PROMPT_BYTES, BlockHash, CacheSalt, Incarnation, Instant, RequestId,
    SortedMap, Tokens, WeightVersion, block_hash_chain,
};

use super::answer::AnswerSource;
use super::begun_run::BegunRun;
use super::cache::{CacheChange, PrefixCache};
use super::config::EngineConfig;
use super::deployment::{Deployment, OrderProgress, OrderTimes};
use super::events::EventLog;
use super::faults::{FaultAction, Faults};
use super::load::LoadHistory;
use super::payload::{block_payload, payload_position};
use super::scheduler::{RunId, Scheduler};
use super::warm_up::WarmUp;
use crate::draw::draw;
use crate::journal::{Journal, JournalListing, marker_of};

/// Prompt bytes of one token.
const TOKEN_PROMPT_BYTES: u64 = 4;

/// Starts each token of an answer that used a block with a payload of another block or version.
const WRONG_BLOCK_DIGEST: &str = "wrongblock";

/// A request to run.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The request.
    pub request_id: RequestId,
    /// Which attempt of the request.
    pub attempt: String,
    /// Larger runs first.
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

/// Why a request is refused. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The version or adapter that the request names is not active.
    WrongVersion,
    /// The queue is full.
    Overloaded,
    /// The engine takes no new work.
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
    /// The run was cancelled, or its client is gone.
    Cancelled,
}

/// What the engine tells the stream of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunSignal {
    /// Prefill is complete; each token starts with the given digits.
    Decode(RunId, String),
    /// The run was cancelled.
    Cancelled(RunId),
    /// The engine crashed.
    Crashed(RunId),
}

/// What the engine has done since the program started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests that reached the engine.
    pub received_requests: u64,
    /// Answers that were sent to their end.
    pub completed_answers: u64,
    /// Runs that were cancelled, or whose client closed its connection.
    pub cancelled_runs: u64,
    /// Requests that were refused.
    pub refused_requests: u64,
    /// Crashes.
    pub crashes: u64,
    /// Prompt tokens of the runs that began, without those that were generated before a resume.
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
    deployment: Deployment,
    warm_up: WarmUp,
    load: LoadHistory,
    journal: Journal<BegunRun>,
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
            deployment: Deployment::new(config.version.clone(), config.checks_fencing),
            warm_up: WarmUp::new(config.warm_up_ms, is_cold),
            load: LoadHistory::new(config.load_lag_ms),
            journal: Journal::new(config.max_journal_entries),
            stats: EngineStats::default(),
            signals: Vec::new(),
            config,
        };
        core.note_load(now);
        core
    }

    /// Sets the number of the engine process, by default 1.
    pub fn set_incarnation(&mut self, incarnation: Incarnation, now: Instant) {
        self.incarnation = incarnation;
        self.note_load(now);
    }

    /// Takes a request into the queue and begins it if there is a place in the batch.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused, or if it makes a cold engine fall over.
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
        let version = self.check(&request).map_err(|refusal| {
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
        // A marked prompt crashes the engine as soon as its run begins.
        if incarnation == self.incarnation { Ok(()) } else { Err(SubmitError::Crashed) }
    }

    /// Counts a request that could not be understood.
    pub fn note_invalid(&mut self) {
        self.stats.received_requests += 1;
        self.stats.refused_requests += 1;
    }

    fn check(&self, request: &RunRequest) -> Result<WeightVersion, Refusal> {
        if self.deployment.is_leaving() {
            return Err(Refusal::Leaving);
        }
        let active = self.deployment.active_version().ok_or(Refusal::WrongVersion)?;
        if request.version.as_ref().is_some_and(|version| version != active) {
            return Err(Refusal::WrongVersion);
        }
        if let Some(adapter) = &request.adapter
            && !self.deployment.adapters().contains(adapter)
        {
            return Err(Refusal::WrongVersion);
        }
        if self.scheduler.queued_count() >= self.config.max_queued_requests as usize {
            return Err(Refusal::Overloaded);
        }
        Ok(active.clone())
    }

    /// Does what is due by `now`.
    pub fn advance(&mut self, now: Instant) {
        if self.deployment.advance(now) {
            // Blocks of the old version are of no use to new requests.
            let changes = self.cache.clear();
            self.publish(changes, now);
        }
        loop {
            self.begin_runs(now);
            let complete = self.scheduler.advance(now);
            if complete.is_empty() {
                break;
            }
            complete.into_iter().for_each(|run| self.complete_prefill(run, now));
        }
        self.warm_up.note(self.scheduler.running_count() > 0, now);
        self.note_load(now);
    }

    fn begin_runs(&mut self, now: Instant) {
        while let Some(id) = self.scheduler.begin_next() {
            let Some(run) = self.runs.get_mut(&id) else { continue };
            let cached = self.cache.use_prefix(&run.chain);
            let is_wrong = run.chain[..cached].iter().any(|block| {
                self.cache.get(block).is_some_and(|cached| cached.foreign_payload.is_some())
            });
            run.digest = match is_wrong {
                true => WRONG_BLOCK_DIGEST.to_owned(),
                false => run.answer_source().digest(),
            };
            let prompt_tokens = (run.request.prompt.len() as u64).div_ceil(TOKEN_PROMPT_BYTES);
            let cached_tokens = (cached * BLOCK_PROMPT_BYTES) as u64 / TOKEN_PROMPT_BYTES;
            self.stats.prompt_tokens += prompt_tokens;
            self.stats.cached_prompt_tokens += cached_tokens;
            // A resumed run also computes the tokens that were delivered before. The last prompt
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
        let changes = match run.version == *self.deployment.loaded_version() {
            true => self.cache.store_chain(&run.chain),
            false => Vec::new(),
        };
        self.signals.push(RunSignal::Decode(id, run.digest.clone()));
        self.publish(changes, now);
    }

    /// Ends a run; it is no error if it has ended already.
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

    /// Resets the engine to a new incarnation without runs and cache.
    pub fn crash(&mut self, now: Instant) {
        // A stream that was cancelled just now still has to hear of it.
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
        self.load = LoadHistory::new(self.config.load_lag_ms);
        self.note_load(now);
    }

    /// Makes a fault happen; silencing connections is not a matter of the engine's state.
    pub fn act(&mut self, action: FaultAction, now: Instant) {
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
        // Swaps share the bandwidth of the weight store.
        let sharing = u64::from(self.faults.swapping_replicas);
        let limit = u64::from(self.config.max_swapping_replicas.max(1));
        let swap_ms = self.config.swap_ms * sharing.max(limit) / limit;
        let times = OrderTimes { swap_ms, adapter_load_ms: self.config.adapter_load_ms };
        let is_accepted = self.deployment.start(order, times, now);
        self.advance(now);
        is_accepted
    }

    pub(crate) fn order_progress(&mut self, order: &Order, now: Instant) -> OrderProgress {
        self.advance(now);
        self.deployment.progress(order)
    }

    /// Returns a cached block for export; a torn one has the seal of the complete block.
    pub fn export_block(&self, block: BlockHash) -> Option<ChecksummedBlock> {
        let cached = self.cache.get(&block)?;
        let payload = match &cached.foreign_payload {
            Some(payload) => payload.clone(),
            None => self.payload(block, cached.position_blocks),
        };
        let mut sealed = ChecksummedBlock::new(block, cached.generation, payload);
        let key = format!("{block}/{}", cached.generation);
        if draw(self.config.seed, "torn", &key) < self.faults.torn_block_probability {
            let half = sealed.payload.len() / 2;
            sealed.payload[half..].fill(0);
        }
        Some(sealed)
    }

    /// Stores a block if it is intact; returns whether it is.
    pub fn import_block(&mut self, block: ChecksummedBlock, now: Instant) -> bool {
        let Some(position_blocks) = payload_position(&block.payload) else { return false };
        if !block.is_intact() {
            return false;
        }
        let is_expected = self.payload(block.hash, position_blocks) == block.payload;
        let foreign_payload = (!is_expected).then_some(block.payload);
        let changes = self.cache.store(block.hash, position_blocks, foreign_payload);
        self.publish(changes, now);
        true
    }

    fn payload(&self, block: BlockHash, position_blocks: u32) -> Vec<u8> {
        let version = self.deployment.loaded_version();
        block_payload(block, position_blocks, version, self.config.block_payload_bytes)
    }

    /// Returns the load report that is visible now.
    pub fn load_report(&mut self, now: Instant) -> LoadReport {
        self.advance(now);
        self.load.visible(now).unwrap_or_else(|| self.current_load())
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

    /// Returns the record of begun runs.
    pub fn journal(&self) -> JournalListing<BegunRun> {
        self.journal.listing()
    }

    /// Returns what the engine has done.
    pub fn stats(&self) -> EngineStats {
        self.stats
    }

    /// Returns the number of the engine process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the engine has crashed and is not back yet.
    pub fn is_restarting(&self, now: Instant) -> bool {
        now < self.restart_end
    }

    /// Returns the signals since the last call, for the streams.
    pub fn take_signals(&mut self) -> Vec<RunSignal> {
        std::mem::take(&mut self.signals)
    }

    /// Returns when [`EngineCore::advance`] has something to do next.
    pub fn next_change(&self) -> Option<Instant> {
        let prefill = self.scheduler.next_completion();
        prefill.into_iter().chain(self.deployment.next_change()).min()
    }

    fn publish(&mut self, changes: Vec<CacheChange>, now: Instant) {
        let (seed, incarnation) = (self.config.seed, self.incarnation);
        let probability = self.faults.lost_event_probability;
        for change in changes {
            self.events.add(change, now, |sequence| {
                draw(seed, "lost", &format!("{incarnation}/{sequence}")) < probability
            });
        }
    }

    fn note_load(&mut self, now: Instant) {
        let report = self.current_load();
        self.load.add(report, now);
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
            state: match (self.deployment.is_leaving(), is_cold) {
                (true, _) => EndpointState::Leaving,
                (false, true) => EndpointState::Cold,
                (false, false) => EndpointState::Warm,
            },
            version: self.deployment.loaded_version().clone(),
            adapters: self.deployment.adapters().to_vec(),
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

    fn journal_entry(&self, incarnation: Incarnation) -> BegunRun {
        BegunRun {
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
