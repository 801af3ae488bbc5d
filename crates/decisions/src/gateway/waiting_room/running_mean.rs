//! Moving average of a quantity with its spread.

/// Weight of a new sample once there are more than a few: a change of the quantity is followed within
/// about twenty samples.
const MIN_WEIGHT: f64 = 0.05;

/// Mean of the last samples and their mean deviation from it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunningMean {
    samples: u32,
    mean: f64,
    deviation: f64,
}

impl RunningMean {
    /// Adds a sample. The first ones all have the same weight.
    pub fn record(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        let difference = sample - self.mean;
        if self.samples > 1 {
            self.deviation += weight * (difference.abs() - self.deviation);
        }
        self.mean += weight * difference;
    }

    /// Returns the mean, or `None` without samples.
    pub fn mean(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }

    /// Returns the mean plus the mean deviation, which most samples do not exceed by much, or `None`
    /// without samples.
    pub fn upper(&self) -> Option<f64> {
        self.mean().map(|mean| mean + self.deviation)
    }
}
