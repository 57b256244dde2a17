//! Alert rules on the receiver's own clock: what fired when, and when it cleared.

use std::collections::BTreeMap;

use nettleferry_alerts::eval::{Labels, Store};
use nettleferry_alerts::rules::{Millis, Rule};
use nettleferry_alerts::state::Alerts;

/// How often a rule is evaluated whose group does not say.
const INTERVAL: Millis = 60_000;

/// An alert that fired, on the wall's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Episode {
    /// Its labels, `alertname` among them.
    pub labels: Labels,
    /// It fired then.
    pub from: Millis,
    /// It fired no more.
    pub to: Option<Millis>,
}

/// Rules under evaluation. Time may be made to run faster for them: a rule's minute is then a part of one.
#[derive(Clone, Debug)]
pub struct Watch {
    rules: Vec<(Alerts, Millis)>,
    store: Store,
    /// From here on time runs faster.
    base: Millis,
    speed: i64,
    episodes: Vec<Episode>,
    open: BTreeMap<Labels, usize>,
    /// Rules that could not be evaluated.
    pub errors: Vec<String>,
}

impl Watch {
    /// Rules as of `now`; a second of ours is `speed` seconds of theirs.
    pub fn new(rules: Vec<Rule>, now: Millis, speed: u32) -> Self {
        let (base, speed) = (now, i64::from(speed.max(1)));
        let rules = rules.into_iter().map(|rule| (Alerts::new(rule), base)).collect();
        let (episodes, open, errors) = Default::default();
        Self { rules, store: Store::default(), base, speed, episodes, open, errors }
    }

    fn theirs(&self, at: Millis) -> Millis {
        self.base + (at - self.base) * self.speed
    }

    /// A sample came.
    pub fn add(&mut self, labels: &[(String, String)], at: Millis, value: f64) {
        let labels: Labels = labels.iter().cloned().collect();
        self.store.add(&labels, self.theirs(at), value);
    }

    /// Evaluates what is due.
    pub fn tick(&mut self, now: Millis) {
        let theirs = self.theirs(now);
        let mut firing: Vec<Labels> = Vec::new();
        for (alerts, next) in &mut self.rules {
            if *next <= theirs {
                let every = alerts.rule().interval.unwrap_or(INTERVAL);
                while *next <= theirs {
                    *next += every;
                }
                if let Err(what) = alerts.evaluate(&self.store, theirs) {
                    self.errors.push(format!("{}: {what}", alerts.rule().alert));
                }
            }
            firing.extend(alerts.firing().into_iter().cloned());
        }
        for labels in &firing {
            if !self.open.contains_key(labels) {
                self.open.insert(labels.clone(), self.episodes.len());
                self.episodes.push(Episode { labels: labels.clone(), from: now, to: None });
            }
        }
        let episodes = &mut self.episodes;
        self.open.retain(|labels, at| {
            let fires = firing.contains(labels);
            if !fires && let Some(episode) = episodes.get_mut(*at) {
                episode.to = Some(now);
            }
            fires
        });
    }

    /// What fired so far, in order.
    pub fn episodes(&self) -> &[Episode] {
        &self.episodes
    }
}

#[cfg(test)]
mod tests;
