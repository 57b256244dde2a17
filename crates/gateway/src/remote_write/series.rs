//! Table of the known series, which are identified by numbers, and the conversion of samples to protocol messages.

use std::collections::HashMap;
use std::sync::Arc;

use nettleferry_metrics::{LATENCY_NAME, NATIVE_SCHEMA};
use nettleferry_proto::remote_write::{self, NativeHistogram, Series, SeriesKind};

use super::sample::{Sample, SampleValue};

/// A series that this or an earlier incarnation has written.
pub(super) struct KnownSeries {
    /// The labels as names and values, including `__name__`.
    pub(super) labels: Vec<(String, String)>,
    kind: SeriesKind,
    /// Whether the samples are native histograms.
    is_native: bool,
    /// Created timestamps that this series had in earlier incarnations, as the recovered records state them, ascending;
    /// milliseconds since 1970.
    earlier_created_ms: Vec<i64>,
}

/// The known series, with their numbers.
pub(super) struct SeriesTable {
    series: Vec<KnownSeries>,
    numbers: HashMap<Vec<(String, String)>, u64>,
    /// Created timestamp of this incarnation's counters, milliseconds since 1970.
    pub(super) created_ms: i64,
}

impl SeriesTable {
    /// Creates an empty table. Until `created_ms` is set, all samples count as samples of earlier incarnations.
    pub(super) fn new() -> Self {
        Self { series: Vec::new(), numbers: HashMap::new(), created_ms: i64::MAX }
    }

    /// The numbers of all series.
    pub(super) fn numbers(&self) -> Vec<u64> {
        (0..self.series.len() as u64).collect()
    }

    /// Returns the series with this number; `None` where no series has it.
    pub(super) fn get(&self, number: u64) -> Option<&KnownSeries> {
        self.series.get(number as usize)
    }

    /// Returns the number of the series with these labels; adds the series if it is new.
    pub(super) fn number(&mut self, labels: &[(String, String)], kind: SeriesKind) -> u64 {
        if let Some(number) = self.numbers.get(labels) {
            return *number;
        }
        let number = self.series.len() as u64;
        let is_latency = labels.iter().any(|(name, value)| name == "__name__" && value == LATENCY_NAME);
        let is_native = kind == SeriesKind::Histogram && is_latency;
        self.series.push(KnownSeries {
            labels: labels.to_vec(),
            kind,
            is_native,
            earlier_created_ms: Vec::new(),
        });
        self.numbers.insert(labels.to_vec(), number);
        number
    }

    /// Adds the created timestamp that a series had in an earlier incarnation.
    pub(super) fn add_earlier_created(&mut self, number: u64, created_ms: i64) {
        if let Some(known) = self.series.get_mut(number as usize)
            && let Err(index) = known.earlier_created_ms.binary_search(&created_ms)
        {
            known.earlier_created_ms.insert(index, created_ms);
        }
    }

    /// The value that marks a series as stale: a NaN, or a native histogram with one.
    pub(super) fn stale_value(&self, number: u64) -> SampleValue {
        if self.get(number).is_some_and(|known| known.is_native) {
            SampleValue::Native(Arc::new(NativeHistogram::stale(NATIVE_SCHEMA)))
        } else {
            SampleValue::Number(remote_write::stale())
        }
    }

    /// The created timestamp for a sample of the time `at_ms`: that of the incarnation that took it, in milliseconds
    /// since 1970. `None` for gauges, and where that incarnation's timestamp is not known.
    fn created_at(&self, known: &KnownSeries, at_ms: i64) -> Option<i64> {
        let created = if at_ms >= self.created_ms {
            Some(self.created_ms)
        } else {
            known.earlier_created_ms.iter().rev().find(|created| **created <= at_ms).copied()
        };
        created.filter(|_| known.kind != SeriesKind::Gauge)
    }

    /// Groups samples by series, in their order. Samples of different incarnations get separate messages, as their
    /// created timestamps differ.
    pub(super) fn to_series(&self, samples: &[Sample]) -> Vec<Series> {
        let mut indices: HashMap<(u64, Option<i64>), usize> = HashMap::new();
        let mut all: Vec<Series> = Vec::new();
        for sample in samples {
            let Some(known) = self.get(sample.series) else { continue };
            let created_ms = self.created_at(known, sample.at_ms);
            let index = *indices.entry((sample.series, created_ms)).or_insert_with(|| {
                all.push(Series {
                    labels: known.labels.clone(),
                    samples: Vec::new(),
                    native_histograms: Vec::new(),
                    kind: known.kind,
                    created_ms,
                });
                all.len() - 1
            });
            match &sample.value {
                SampleValue::Number(value) => all[index].samples.push((sample.at_ms, *value)),
                SampleValue::Native(native) => {
                    all[index].native_histograms.push((sample.at_ms, NativeHistogram::clone(native)));
                }
            }
        }
        all
    }
}
