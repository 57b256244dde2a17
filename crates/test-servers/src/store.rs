//! A model of the model store that all workers share. Concurrent fetches slow each other down, and fetches above a
//! limit are refused.

/// A time or a duration in microseconds.
pub type Micros = u64;

/// A model store with its fetches in progress.
#[derive(Clone, Debug)]
pub struct Store {
    /// Number of concurrent fetches that run at full speed. A fetch that begins when there are more takes
    /// proportionally longer.
    pub full_speed_fetches: u32,
    /// Maximum number of concurrent fetches. Further fetches are refused.
    pub max_fetches: u32,
    /// Factor on the duration of all fetches, to simulate a slow store. 1 is normal speed.
    pub slowness: f64,
    running: u32,
    /// Number of fetches that were refused.
    pub refused: u64,
    /// Number of fetches that were started.
    pub begun: u64,
}

impl Store {
    /// Creates a store at normal speed. A limit of 0 counts as 1.
    pub fn new(full_speed_fetches: u32, max_fetches: u32) -> Self {
        Self {
            full_speed_fetches: full_speed_fetches.max(1),
            max_fetches: max_fetches.max(1),
            slowness: 1.0,
            running: 0,
            refused: 0,
            begun: 0,
        }
    }

    /// Starts a fetch that takes `full_speed_time` at full speed. Returns its actual duration, or `None` if it is
    /// refused. The caller must call [`Store::end`] when the fetch ends.
    pub fn begin(&mut self, full_speed_time: Micros) -> Option<Micros> {
        if self.running >= self.max_fetches {
            self.refused += 1;
            return None;
        }
        self.running += 1;
        self.begun += 1;
        let slowdown = (f64::from(self.running) / f64::from(self.full_speed_fetches)).max(1.0);
        Some((full_speed_time as f64 * slowdown * self.slowness) as Micros)
    }

    /// Ends a fetch: it is complete, or its worker has died.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new(8, 32)
    }
}

#[cfg(test)]
mod tests;
