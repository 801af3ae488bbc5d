//! Weight version, adapters and whether the engine is leaving service, and the orders that change
//! them.

use yuccapass_endpoints::{Order, OrderKind};
use yuccapass_types::{AdapterId, FencingNumber, Instant, WeightVersion};

/// What an engine has loaded, and whether it accepts new requests.
#[derive(Debug)]
pub(crate) struct ServingState {
    checks_fencing: bool,
    highest_fencing: FencingNumber,
    version: WeightVersion,
    swap: Option<(WeightVersion, Instant)>,
    adapters: Vec<AdapterId>,
    loading_adapters: Vec<(AdapterId, Instant)>,
    is_leaving: bool,
}

/// How long the steps of orders take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OrderTimes {
    pub(crate) swap_ms: u64,
    pub(crate) adapter_load_ms: u64,
}

/// The progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderProgress {
    Done,
    /// The order completes at this instant if no other order replaces it.
    DueAt(Instant),
    /// Another order replaced this one.
    Replaced,
}

impl ServingState {
    pub(crate) fn new(version: WeightVersion, checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest_fencing: FencingNumber::default(),
            version,
            swap: None,
            adapters: Vec::new(),
            loading_adapters: Vec::new(),
            is_leaving: false,
        }
    }

    /// Starts an order; returns false if its fencing number is refused.
    pub(crate) fn start(&mut self, order: &Order, times: OrderTimes, now: Instant) -> bool {
        if self.checks_fencing && order.fencing < self.highest_fencing {
            return false;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        match &order.kind {
            OrderKind::LoadVersion { version } => self.start_swap(version, times.swap_ms, now),
            OrderKind::LoadAdapter { adapter } => {
                let is_known = self.adapters.contains(adapter)
                    || self.loading_adapters.iter().any(|(loading, _)| loading == adapter);
                if !is_known {
                    let end = Instant::from_ms(now.as_ms() + times.adapter_load_ms);
                    self.loading_adapters.push((adapter.clone(), end));
                }
            }
            OrderKind::SetLeaving { leaving } => self.is_leaving = *leaving,
        }
        true
    }

    fn start_swap(&mut self, version: &WeightVersion, swap_ms: u64, now: Instant) {
        match &self.swap {
            Some((target, _)) if target == version => {}
            None if self.version == *version => {}
            _ => {
                let end = Instant::from_ms(now.as_ms() + swap_ms);
                self.swap = Some((version.clone(), end));
            }
        }
    }

    /// Completes swaps and loads that are due; returns whether the weight version changed.
    pub(crate) fn advance(&mut self, now: Instant) -> bool {
        let due = self.loading_adapters.extract_if(.., |(_, end)| *end <= now);
        self.adapters.extend(due.map(|(adapter, _)| adapter));
        match self.swap.take_if(|(_, end)| *end <= now) {
            Some((version, _)) => {
                self.version = version;
                true
            }
            None => false,
        }
    }

    pub(crate) fn progress(&self, order: &Order) -> OrderProgress {
        match &order.kind {
            OrderKind::LoadVersion { version } => match &self.swap {
                Some((target, end)) if target == version => OrderProgress::DueAt(*end),
                None if self.version == *version => OrderProgress::Done,
                _ => OrderProgress::Replaced,
            },
            OrderKind::LoadAdapter { adapter } => {
                let loading = self.loading_adapters.iter().find(|(loading, _)| loading == adapter);
                match loading {
                    Some((_, end)) => OrderProgress::DueAt(*end),
                    None if self.adapters.contains(adapter) => OrderProgress::Done,
                    None => OrderProgress::Replaced,
                }
            }
            OrderKind::SetLeaving { .. } => OrderProgress::Done,
        }
    }

    /// Returns when the next swap or load completes.
    pub(crate) fn next_change(&self) -> Option<Instant> {
        let swap = self.swap.iter().map(|(_, end)| *end);
        swap.chain(self.loading_adapters.iter().map(|(_, end)| *end)).min()
    }

    /// Returns the version for new requests; during a swap there is none.
    pub(crate) fn active_version(&self) -> Option<&WeightVersion> {
        self.swap.is_none().then_some(&self.version)
    }

    /// Returns the version that was loaded last.
    pub(crate) fn loaded_version(&self) -> &WeightVersion {
        &self.version
    }

    pub(crate) fn adapters(&self) -> &[AdapterId] {
        &self.adapters
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
