//! The series that are known, by number, and samples as messages of their series.

use std::collections::HashMap;
use std::sync::Arc;

use nettleferry_metrics::{LATENCY_NAME, NATIVE_SCHEMA};
use nettleferry_proto::remote_write::{self, NativeHistogram, Series, SeriesKind};

use super::sample::{Sample, SampleValue};

/// A series.
pub(super) struct KnownSeries {
    /// Its labels, `__name__` among them.
    pub(super) labels: Vec<(String, String)>,
    kind: SeriesKind,
    /// Whether its samples are native histograms.
    is_native: bool,
    /// Created timestamps of earlier incarnations of which samples are queued, in order.
    earlier_created_ms: Vec<i64>,
}

/// All series, by number.
pub(super) struct SeriesTable {
    series: Vec<KnownSeries>,
    numbers: HashMap<Vec<(String, String)>, u64>,
    /// When the counters of this incarnation began.
    pub(super) created_ms: i64,
}

impl SeriesTable {
    /// No series. Until the created timestamp is set, all samples count as those of earlier incarnations.
    pub(super) fn new() -> Self {
        Self { series: Vec::new(), numbers: HashMap::new(), created_ms: i64::MAX }
    }

    /// Numbers of all series.
    pub(super) fn numbers(&self) -> Vec<u64> {
        (0..self.series.len() as u64).collect()
    }

    /// A series by its number.
    pub(super) fn get(&self, number: u64) -> Option<&KnownSeries> {
        self.series.get(number as usize)
    }

    /// The number of the series with these labels, which is added where it is new.
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

    /// Notes when the counter of a series began in an earlier incarnation.
    pub(super) fn add_earlier_created(&mut self, number: u64, created_ms: i64) {
        if let Some(known) = self.series.get_mut(number as usize)
            && let Err(index) = known.earlier_created_ms.binary_search(&created_ms)
        {
            known.earlier_created_ms.insert(index, created_ms);
        }
    }

    /// The staleness marker of a series.
    pub(super) fn stale_value(&self, number: u64) -> SampleValue {
        if self.get(number).is_some_and(|known| known.is_native) {
            SampleValue::Native(Arc::new(NativeHistogram::stale(NATIVE_SCHEMA)))
        } else {
            SampleValue::Number(remote_write::stale())
        }
    }

    /// The created timestamp of a series for a sample: that of the incarnation that it is of.
    fn created_at(&self, known: &KnownSeries, at_ms: i64) -> Option<i64> {
        let created = if at_ms >= self.created_ms {
            Some(self.created_ms)
        } else {
            known.earlier_created_ms.iter().rev().find(|created| **created <= at_ms).copied()
        };
        created.filter(|_| known.kind != SeriesKind::Gauge)
    }

    /// Samples as series, each with its samples in order; those of each incarnation have a series of their own.
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
                    natives: Vec::new(),
                    kind: known.kind,
                    created_ms,
                });
                all.len() - 1
            });
            match &sample.value {
                SampleValue::Number(value) => all[index].samples.push((sample.at_ms, *value)),
                SampleValue::Native(native) => {
                    all[index].natives.push((sample.at_ms, NativeHistogram::clone(native)));
                }
            }
        }
        all
    }
}
