//! The write-ahead log of samples: which records hold which samples, and the roster of series.

use std::io;
use std::path::PathBuf;

use nettleferry_metrics::WalState;
use nettleferry_proto::remote_write::{self, Series, Version};
use nettleferry_remote_write::RecordTracker;
use nettleferry_wal::{DirectoryStorage, Limits, Position, RecoveredRecord, WalError, WriteAheadLog};
use tracing::{info, warn};

/// Most series of a record, which bounds its length.
pub(super) const MAX_RECORD_SERIES: usize = 2_000;
/// Part of the log's size that one segment has, and the smallest segment, bytes.
const SEGMENTS: u64 = 16;
const MIN_SEGMENT_BYTES: u64 = 1 << 16;

/// The log.
pub(super) struct SampleLog {
    wal: WriteAheadLog<DirectoryStorage>,
    limit_bytes: u64,
    tracker: RecordTracker<Position>,
    /// Records of the roster.
    roster: Vec<Position>,
    /// Whether the last operation failed.
    failing: bool,
    failures: u64,
}

impl SampleLog {
    /// Opens the log, and returns the records that were not acknowledged.
    pub(super) fn open(folder: PathBuf, limit_bytes: u64) -> io::Result<(Self, Vec<RecoveredRecord>)> {
        let segment_bytes = (limit_bytes / SEGMENTS).max(MIN_SEGMENT_BYTES);
        let limits = Limits { bytes: limit_bytes, segment_bytes };
        let storage = DirectoryStorage::open(folder)?;
        let (wal, recovered) = WriteAheadLog::open(storage, limits).map_err(|error| match error {
            WalError::Io(error) => error,
            other => io::Error::other(other.to_string()),
        })?;
        let tracker = RecordTracker::default();
        let log = Self { wal, limit_bytes, tracker, roster: Vec::new(), failing: false, failures: 0 };
        Ok((log, recovered.records))
    }

    /// Its size and failures, for metrics.
    pub(super) fn state(&self) -> WalState {
        WalState { bytes: self.wal.bytes(), limit_bytes: self.limit_bytes, failures: self.failures }
    }

    /// Runs an operation. A failure is counted, and logged once until an operation succeeds again: meanwhile samples are
    /// in memory alone.
    fn run_operation<T>(
        &mut self,
        operation: impl FnOnce(&mut WriteAheadLog<DirectoryStorage>) -> Result<T, WalError>,
    ) -> Option<T> {
        match operation(&mut self.wal) {
            Ok(value) => {
                if std::mem::take(&mut self.failing) {
                    info!("the storage of the samples' write-ahead log works again");
                }
                Some(value)
            }
            Err(error) => {
                self.failures += 1;
                if !std::mem::replace(&mut self.failing, true) {
                    warn!(%error, "the samples' write-ahead log fails: unacknowledged samples would not survive a crash");
                }
                None
            }
        }
    }

    /// Appends a record of so many samples of one time.
    pub(super) fn append_samples(&mut self, at_ms: i64, series: &[Series], samples: usize) {
        let Ok(record) = remote_write::encode(Version::Two, series) else { return };
        if let Some(position) = self.run_operation(|wal| wal.append(&record)) {
            self.tracker.add(at_ms, position, samples);
        }
    }

    /// Tracks a recovered record, which holds so many samples of a time.
    pub(super) fn track_recovered(&mut self, at_ms: i64, position: Position, samples: usize) {
        self.tracker.add(at_ms, position, samples);
    }

    /// A sample of this time has left the queue: records that are complete are acknowledged.
    pub(super) fn complete_sample(&mut self, at_ms: i64) {
        for position in self.tracker.complete_sample(at_ms) {
            self.acknowledge(position);
        }
    }

    /// Acknowledges a record.
    pub(super) fn acknowledge(&mut self, position: Position) {
        self.run_operation(|wal| wal.acknowledge(position));
    }

    /// Acknowledges a record of an unknown format, whatever the storage does.
    pub(super) fn discard(&mut self, position: Position) {
        let _ = self.wal.acknowledge(position);
    }

    /// Makes durable what was appended and acknowledged.
    pub(super) fn sync(&mut self) {
        self.run_operation(WriteAheadLog::sync);
    }

    /// Whether the roster must be written again: it must not hold back segments, and may have been dropped with its own.
    pub(super) fn is_roster_outdated(&self) -> bool {
        let newest = self.wal.newest();
        self.roster.iter().any(|position| position.segment < newest || !self.wal.contains(*position))
    }

    /// Replaces the roster: series without samples, which the next incarnation is to close.
    pub(super) fn write_roster(&mut self, mut series: Vec<Series>) {
        for one in &mut series {
            one.samples.clear();
            one.natives.clear();
        }
        let mut written = Vec::new();
        for part in series.chunks(MAX_RECORD_SERIES) {
            let Ok(record) = remote_write::encode(Version::Two, part) else { continue };
            written.extend(self.run_operation(|wal| wal.append(&record)));
        }
        if !written.is_empty() {
            for old in std::mem::replace(&mut self.roster, written) {
                self.acknowledge(old);
            }
        }
    }

    /// Acknowledges the roster.
    pub(super) fn drop_roster(&mut self) {
        for position in std::mem::take(&mut self.roster) {
            self.acknowledge(position);
        }
    }
}
