//! Evaluates alert rules over received samples and records when alerts fired and cleared.

use std::collections::BTreeMap;

use nettleferry_alerts::eval::{Labels, Store};
use nettleferry_alerts::rules::{Millis, Rule};
use nettleferry_alerts::state::Alerts;

/// Evaluation interval of rules whose group does not set one.
const DEFAULT_INTERVAL: Millis = 60_000;

/// A period in which an alert was firing. Times are those of the wall clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Episode {
    /// Labels of the alert, including `alertname`.
    pub labels: Labels,
    /// Time of the evaluation at which the alert began to fire.
    pub from: Millis,
    /// Time of the evaluation at which the alert cleared. `None` while it fires.
    pub to: Option<Millis>,
}

/// Evaluates rules on a clock that may run faster than the wall clock, so that a rule with a duration of minutes can be
/// tested in seconds.
#[derive(Clone, Debug)]
pub struct Watch {
    /// Each rule with the time of its next evaluation, on the clock of the rules.
    rules: Vec<(Alerts, Millis)>,
    store: Store,
    /// Wall-clock time at which the clock of the rules starts, with the same value.
    base: Millis,
    /// Milliseconds on the clock of the rules for each millisecond of the wall clock.
    speed: i64,
    episodes: Vec<Episode>,
    /// Alerts that are firing, with the index of their episode.
    firing: BTreeMap<Labels, usize>,
    /// Errors of failed evaluations, with the name of the alert.
    pub errors: Vec<String>,
}

impl Watch {
    /// Starts to evaluate rules at the wall-clock time `now`. Their clock runs `speed` times as fast as the wall clock.
    pub fn new(rules: Vec<Rule>, now: Millis, speed: u32) -> Self {
        let (base, speed) = (now, i64::from(speed.max(1)));
        let rules = rules.into_iter().map(|rule| (Alerts::new(rule), base)).collect();
        let (episodes, firing, errors) = Default::default();
        Self { rules, store: Store::default(), base, speed, episodes, firing, errors }
    }

    /// Converts a wall-clock time to the clock of the rules.
    fn rule_time(&self, at: Millis) -> Millis {
        self.base + (at - self.base) * self.speed
    }

    /// Adds a received sample. `at` is its wall-clock time.
    pub fn add(&mut self, labels: &[(String, String)], at: Millis, value: f64) {
        let labels: Labels = labels.iter().cloned().collect();
        self.store.add(&labels, self.rule_time(at), value);
    }

    /// Evaluates the rules that are due at the wall-clock time `now` and updates the episodes.
    pub fn tick(&mut self, now: Millis) {
        let rule_now = self.rule_time(now);
        let mut firing: Vec<Labels> = Vec::new();
        for (alerts, next) in &mut self.rules {
            if *next <= rule_now {
                let interval = alerts.rule().interval.unwrap_or(DEFAULT_INTERVAL);
                while *next <= rule_now {
                    *next += interval;
                }
                if let Err(error) = alerts.evaluate(&self.store, rule_now) {
                    self.errors.push(format!("{}: {error}", alerts.rule().alert));
                }
            }
            firing.extend(alerts.firing().into_iter().cloned());
        }
        for labels in &firing {
            if !self.firing.contains_key(labels) {
                self.firing.insert(labels.clone(), self.episodes.len());
                self.episodes.push(Episode { labels: labels.clone(), from: now, to: None });
            }
        }
        let episodes = &mut self.episodes;
        self.firing.retain(|labels, index| {
            let still_firing = firing.contains(labels);
            if !still_firing && let Some(episode) = episodes.get_mut(*index) {
                episode.to = Some(now);
            }
            still_firing
        });
    }

    /// Returns all episodes so far, in the order in which they began.
    pub fn episodes(&self) -> &[Episode] {
        &self.episodes
    }
}

#[cfg(test)]
mod tests;
