//! How fast the endpoints of a service are now.
//!
//! An endpoint that shares its machine reports with each answer how long work takes there. The
//! figure changes many times a second, so [`EndpointSpeed`] takes it as a sample of an average with
//! an error. An endpoint that does not report is judged by how long its answers take, compared with
//! the other endpoints of its service. [`ServicePace`] is what a node has learnt about a service:
//! how long a request takes at the usual speed.

use yuccapass_types::{Instant, Slowdown, Tokens};

use super::configuration::EngineSpec;

/// What a request needs from an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestWork {
    /// Tokens in its prompt.
    pub prompt: Tokens,
    /// Tokens in its prompt that are not cached and have to be prefilled.
    pub uncached: Tokens,
    /// Tokens that its answer is expected to have.
    pub output: Tokens,
}

impl RequestWork {
    /// Returns the memory of an engine that it occupies at its end.
    pub fn memory(&self) -> Tokens {
        self.prompt + self.output
    }
}

/// An estimate of an endpoint's slowdown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowdownEstimate {
    /// The expected value.
    pub expected: Slowdown,
    /// Standard error of the expected value, as a multiple of the usual time.
    pub error: f64,
    /// Time since the last sample.
    pub age_ms: u64,
}

/// Half-life of the weight of a sample in the average.
const SAMPLE_HALF_LIFE_MS: f64 = 1_000.0;

/// Half-life of the part of a sample that differs from the average. The reported figure changes
/// several times a second.
const DIFFERENCE_HALF_LIFE_MS: f64 = 150.0;

/// Half-life of the lasting part of a difference, if nothing more is heard of the endpoint.
const LASTING_HALF_LIFE_MS: f64 = 10_000.0;

/// Weight of the service's average in the estimate for one endpoint, in samples.
const PRIOR_WEIGHT: f64 = 0.5;

/// Variance of a single sample of which no other is known, as a square of a multiple of the usual
/// time.
const UNKNOWN_VARIANCE: f64 = 0.25;

/// Two samples in a row that differ from the average by more than this number of deviations replace
/// it.
const SHIFT_DEVIATIONS: f64 = 3.0;

/// Minimum difference of such samples, as a multiple of the usual time.
const MIN_SHIFT: f64 = 0.5;

/// An endpoint is slow if its average is this multiple of the average of its service.
const SLOW_FACTOR: f64 = 2.5;

/// A mean and a variance of samples whose weights halve with their age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct AgedMean {
    mean: f64,
    variance: f64,
    weight: f64,
    sampled_at: Instant,
}

impl AgedMean {
    fn add(&mut self, sample: f64, half_life_ms: f64, now: Instant) {
        self.weight = self.weight_at(half_life_ms, now) + 1.0;
        let share = 1.0 / self.weight;
        let difference = sample - self.mean;
        self.mean += share * difference;
        self.variance = (1.0 - share) * (self.variance + share * difference * difference);
        self.sampled_at = now;
    }

    fn weight_at(&self, half_life_ms: f64, now: Instant) -> f64 {
        self.weight * halved(now.ms_since(self.sampled_at), half_life_ms)
    }
}

/// Returns what remains of 1 after `age_ms`.
fn halved(age_ms: u64, half_life_ms: f64) -> f64 {
    0.5_f64.powf((age_ms as f64 / half_life_ms).min(64.0))
}

/// Estimates the slowdown of one endpoint from samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointSpeed {
    samples: AgedMean,
    last: Option<f64>,
    has_reported: bool,
    // Whether the sample before the last one was too far above (true) or below the average.
    shift: Option<bool>,
}

impl EndpointSpeed {
    /// Returns the mean of the samples, if there are any.
    pub fn mean(&self) -> Option<f64> {
        self.last.map(|_| self.samples.mean)
    }

    /// Records a slowdown that the endpoint reports.
    pub fn record_report(&mut self, slowdown: Slowdown, now: Instant) {
        if !self.has_reported {
            // The endpoint's own figure replaces what was concluded from its answers.
            *self = Self { has_reported: true, ..Self::default() };
        }
        self.record_sample(slowdown.factor(), now);
    }

    /// Records that an answer began `waited_ms` after its request was sent, where `expected_ms` were
    /// expected at the usual speed. Ignored if the endpoint reports its slowdown.
    pub fn record_answer(&mut self, waited_ms: u64, expected_ms: f64, now: Instant) {
        if !self.has_reported && expected_ms > 0.0 {
            self.record_sample(Slowdown::from_factor(waited_ms as f64 / expected_ms).factor(), now);
        }
    }

    fn record_sample(&mut self, sample: f64, now: Instant) {
        let shift = self.shift_of(sample);
        if shift.is_some() && shift == self.shift {
            // The endpoint has changed, so its earlier samples say nothing about it now. The sample
            // before this one belongs to the new level.
            let last = self.last.unwrap_or(sample);
            self.samples = AgedMean { mean: last, weight: 1.0, ..self.samples };
            self.samples.variance = 0.0;
        }
        self.shift = shift;
        self.samples.add(sample, SAMPLE_HALF_LIFE_MS, now);
        self.last = Some(sample);
    }

    /// Returns whether a sample is far above or below the average, or neither.
    fn shift_of(&self, sample: f64) -> Option<bool> {
        self.last?;
        let bound = (SHIFT_DEVIATIONS * self.samples.variance.sqrt()).max(MIN_SHIFT);
        let difference = sample - self.samples.mean;
        (difference.abs() > bound).then_some(difference > 0.0)
    }

    /// Returns whether the endpoint reports its slowdown.
    pub fn has_reported(&self) -> bool {
        self.has_reported
    }

    /// Returns the estimate, or `None` if there was no sample. The older the last sample, the closer
    /// it is to the average of the service, and the larger its error.
    pub fn estimate(&self, pace: &ServicePace, now: Instant) -> Option<SlowdownEstimate> {
        let last = self.last?;
        let age_ms = now.ms_since(self.samples.sampled_at);
        let (_, variance, _) = self.average(pace, now);
        let lasting = self.lasting_factor(pace, now);
        let persistence = halved(age_ms, DIFFERENCE_HALF_LIFE_MS);
        let expected = lasting + (last - lasting) * persistence;
        let error = (variance * (1.0 - persistence * persistence)).sqrt();
        Some(SlowdownEstimate { expected: Slowdown::from_factor(expected), error, age_ms })
    }

    /// Returns the lasting part of the slowdown, as a multiple of the usual time: the average of the
    /// service, and of the endpoint's difference from it what its next report will still show. That is
    /// all of a difference that is too large for the usual changes of the service.
    pub fn lasting_factor(&self, pace: &ServicePace, now: Instant) -> f64 {
        let (prior, prior_variance) = pace.slowdown();
        if self.last.is_none() {
            return prior;
        }
        let difference = self.samples.mean - prior;
        let is_outlier = difference.abs() > SHIFT_DEVIATIONS * prior_variance.sqrt();
        let reliability = if is_outlier { 1.0 } else { pace.reliability() };
        let age_ms = now.ms_since(self.samples.sampled_at);
        prior + difference * reliability * halved(age_ms, LASTING_HALF_LIFE_MS)
    }

    /// Returns whether the endpoint is far slower than its service, also if the average of its
    /// samples is too high by its standard error.
    pub fn is_slow(&self, pace: &ServicePace, now: Instant) -> bool {
        let (mean, variance, weight) = self.average(pace, now);
        mean - (variance / weight).sqrt() > SLOW_FACTOR * pace.slowdown().0
    }

    /// Returns the mean and the variance of the samples and their weight, together with the average
    /// of the service.
    fn average(&self, pace: &ServicePace, now: Instant) -> (f64, f64, f64) {
        let weight = self.samples.weight_at(SAMPLE_HALF_LIFE_MS, now);
        let total = weight + PRIOR_WEIGHT;
        let mix = |own: f64, prior: f64| (weight * own + PRIOR_WEIGHT * prior) / total;
        let (prior, prior_variance) = pace.slowdown();
        (mix(self.samples.mean, prior), mix(self.samples.variance, prior_variance), total)
    }
}

/// Half-life of the weight of a request in the averages of its service.
const PACE_HALF_LIFE_MS: f64 = 20_000.0;

/// Number of requests after which the learnt times are used without the assumed ones.
const MIN_SAMPLES: f64 = 3.0;

/// Assumed time to the beginning of an answer without a prompt, until answers were measured.
const ASSUMED_BASE_MS: f64 = 20.0;

/// Assumed time to prefill a token, until answers were measured.
const ASSUMED_TOKEN_MS: f64 = 0.02;

/// Sum of squared differences that must have been confirmed before differences count in half.
const UNCONFIRMED_SQUARES: f64 = 0.25;

/// Weight of an answer that took far longer to begin than expected, in the learnt times.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// How long the requests of a service take at the usual speed, as learnt by one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServicePace {
    engine: Option<EngineSpec>,
    slowdowns: AgedMean,
    // Products and squares of the differences of earlier averages and of later reports from the mean
    // of the service.
    products: AgedMean,
    squares: AgedMean,
    run_ms: AgedMean,
    // Sums for the regression of the time to the beginning of an answer on the prefilled tokens.
    begun: BegunSums,
    begun_at: Instant,
}

#[derive(Debug, Clone, Copy, Default)]
struct BegunSums {
    count: f64,
    tokens: f64,
    ms: f64,
    tokens_tokens: f64,
    tokens_ms: f64,
}

impl ServicePace {
    /// Sets the engines of the service; `None` if it serves no models.
    pub fn set_engine(&mut self, engine: Option<EngineSpec>) {
        self.engine = engine;
    }

    /// Returns the tokens that fit into the memory of an engine.
    pub fn capacity(&self) -> Option<Tokens> {
        self.engine.map(|engine| engine.capacity)
    }

    /// Returns whether endpoints of the service report their slowdown.
    pub fn has_reports(&self) -> bool {
        self.slowdowns.weight > 0.0
    }

    /// Records a slowdown that an endpoint of the service reports, and the average of its earlier
    /// reports.
    pub fn record_report(&mut self, slowdown: Slowdown, earlier: Option<f64>, now: Instant) {
        if let Some(earlier) = earlier.filter(|_| self.has_reports()) {
            let difference = earlier - self.slowdowns.mean;
            let product = difference * (slowdown.factor() - self.slowdowns.mean);
            self.products.add(product, PACE_HALF_LIFE_MS, now);
            self.squares.add(difference * difference, PACE_HALF_LIFE_MS, now);
        }
        self.slowdowns.add(slowdown.factor(), PACE_HALF_LIFE_MS, now);
    }

    /// Records that an answer began `waited_ms` after its request was sent to an endpoint with this
    /// slowdown where no request was waiting.
    pub fn record_begun(
        &mut self,
        work: &RequestWork,
        waited_ms: u64,
        slowdown: Slowdown,
        now: Instant,
    ) {
        let decay = halved(now.ms_since(self.begun_at), PACE_HALF_LIFE_MS);
        let (tokens, ms) = (work.uncached.get() as f64, waited_ms as f64 / slowdown.factor());
        // What exceeds the expected time is mostly a queue that no endpoint reports.
        let weight = (self.begin_ms(work) / ms.max(1.0)).powi(2).clamp(MIN_SAMPLE_WEIGHT, 1.0);
        let sums = &mut self.begun;
        sums.count = sums.count * decay + weight;
        sums.tokens = sums.tokens * decay + weight * tokens;
        sums.ms = sums.ms * decay + weight * ms;
        sums.tokens_tokens = sums.tokens_tokens * decay + weight * tokens * tokens;
        sums.tokens_ms = sums.tokens_ms * decay + weight * tokens * ms;
        self.begun_at = now;
    }

    /// Records that a request occupied a slot of an endpoint with this slowdown for `run_ms`.
    pub fn record_run(&mut self, run_ms: u64, slowdown: Slowdown, now: Instant) {
        self.run_ms.add(run_ms as f64 / slowdown.factor(), PACE_HALF_LIFE_MS, now);
    }

    /// Returns the mean and the variance of the slowdowns that the endpoints report, as multiples of
    /// the usual time.
    pub fn slowdown(&self) -> (f64, f64) {
        match self.has_reports() {
            true => (self.slowdowns.mean, self.slowdowns.variance.max(UNKNOWN_VARIANCE / 10.0)),
            false => (1.0, UNKNOWN_VARIANCE),
        }
    }

    /// Returns how much of the difference between an endpoint's average and that of its service is
    /// still found in its next report, from 0 to 1: little if all endpoints change in the same way,
    /// much if some are always slower.
    pub fn reliability(&self) -> f64 {
        let weight = self.squares.weight;
        let (products, squares) = (self.products.mean * weight, self.squares.mean * weight);
        (products / (squares + UNCONFIRMED_SQUARES)).clamp(0.0, 1.0)
    }

    /// Returns the time to prefill a token, in milliseconds.
    pub fn token_ms(&self) -> f64 {
        let sums = &self.begun;
        let variance = sums.count * sums.tokens_tokens - sums.tokens * sums.tokens;
        let covariance = sums.count * sums.tokens_ms - sums.tokens * sums.ms;
        match sums.count >= MIN_SAMPLES && variance > 0.0 {
            true => (covariance / variance).max(0.0),
            false => ASSUMED_TOKEN_MS,
        }
    }

    /// Returns the time to the beginning of an answer without queue and prefill, in milliseconds.
    pub fn base_ms(&self) -> f64 {
        let sums = &self.begun;
        match sums.count >= MIN_SAMPLES {
            true => ((sums.ms - self.token_ms() * sums.tokens) / sums.count).max(0.0),
            false => ASSUMED_BASE_MS,
        }
    }

    /// Returns how long a request occupies a slot, in milliseconds.
    pub fn run_ms(&self) -> f64 {
        match self.run_ms.weight >= MIN_SAMPLES {
            true => self.run_ms.mean,
            false => self.run_ms.mean.max(self.base_ms()),
        }
    }

    /// Returns the time to the beginning of an answer at an idle endpoint of the usual speed.
    pub fn begin_ms(&self, work: &RequestWork) -> f64 {
        self.base_ms() + self.token_ms() * work.uncached.get() as f64
    }
}
