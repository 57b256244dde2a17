//! The model store that all workers share: it slows when crowded and refuses past a limit.

/// Microseconds.
pub type Micros = u64;

/// A store.
#[derive(Clone, Debug)]
pub struct Store {
    /// Fetches that run at full speed; beyond them each is slowed in proportion.
    pub full_speed_fetches: u32,
    /// Fetches at once; one more is refused.
    pub max_fetches: u32,
    /// All fetches take this many times as long: a slow store.
    pub slowness: f64,
    running: u32,
    /// Fetches refused.
    pub refused: u64,
    /// Fetches begun.
    pub begun: u64,
}

impl Store {
    /// A store that is not slow.
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

    /// Begins a fetch that would take `alone` by itself: how long it takes now. `None`: refused.
    pub fn begin(&mut self, alone: Micros) -> Option<Micros> {
        if self.running >= self.max_fetches {
            self.refused += 1;
            return None;
        }
        self.running += 1;
        self.begun += 1;
        let crowd = (f64::from(self.running) / f64::from(self.full_speed_fetches)).max(1.0);
        Some((alone as f64 * crowd * self.slowness) as Micros)
    }

    /// A fetch has ended, or its worker died.
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
