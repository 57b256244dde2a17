//! The write-ahead log of samples: tracks which record holds which samples, and keeps the roster of series.
//!
//! The roster is a list of this incarnation's series, in records without samples. After a crash the next incarnation
//! reads from it for which series it has to write staleness markers.

use std::io;
use std::path::PathBuf;

use nettleferry_metrics::WalState;
use nettleferry_proto::remote_write::{self, Series, Version};
use nettleferry_remote_write::RecordTracker;
use nettleferry_wal::{DirectoryStorage, Limits, Position, RecoveredRecord, WalError, WriteAheadLog};
use tracing::{info, warn};

/// Maximum number of series in a record; bounds the size of records.
pub(super) const MAX_RECORD_SERIES: usize = 2_000;
/// Number of segments into which the size limit of the log is divided.
const SEGMENTS: u64 = 16;
/// Smallest size of a segment, bytes.
const MIN_SEGMENT_BYTES: u64 = 1 << 16;

/// The write-ahead log, with the records that are not acknowledged yet.
pub(super) struct SampleLog {
    wal: WriteAheadLog<DirectoryStorage>,
    limit_bytes: u64,
    tracker: RecordTracker<Position>,
    /// Positions of the roster's records.
    roster: Vec<Position>,
    /// Whether the last operation failed.
    failing: bool,
    failures: u64,
}

impl SampleLog {
    /// Opens the log, and returns the records that the previous incarnation did not acknowledge.
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

    /// The size of the log and its failed operations, for metrics.
    pub(super) fn state(&self) -> WalState {
        WalState { bytes: self.wal.bytes(), limit_bytes: self.limit_bytes, failures: self.failures }
    }

    /// Runs an operation on the log. Failures are counted; only the first one is logged until an operation succeeds
    /// again. Samples that could not be written are kept in memory only.
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

    /// Appends a record with the given series, which hold `samples` samples, all of the time `at_ms`.
    pub(super) fn append_samples(&mut self, at_ms: i64, series: &[Series], samples: usize) {
        let Ok(record) = remote_write::encode(Version::Two, series) else { return };
        if let Some(position) = self.run_operation(|wal| wal.append(&record)) {
            self.tracker.add(at_ms, position, samples);
        }
    }

    /// Tracks `samples` samples of the time `at_ms` in a recovered record.
    pub(super) fn track_recovered(&mut self, at_ms: i64, position: Position, samples: usize) {
        self.tracker.add(at_ms, position, samples);
    }

    /// Counts a sample of the time `at_ms` that has left the queue, and acknowledges the records of which it was the
    /// last.
    pub(super) fn complete_sample(&mut self, at_ms: i64) {
        for position in self.tracker.complete_sample(at_ms) {
            self.acknowledge(position);
        }
    }

    /// Acknowledges a record: it is not recovered after a restart.
    pub(super) fn acknowledge(&mut self, position: Position) {
        self.run_operation(|wal| wal.acknowledge(position));
    }

    /// Acknowledges a record of an unknown format. A failure is neither counted nor logged.
    pub(super) fn discard(&mut self, position: Position) {
        let _ = self.wal.acknowledge(position);
    }

    /// Makes all earlier appends and acknowledgements durable.
    pub(super) fn sync(&mut self) {
        self.run_operation(WriteAheadLog::sync);
    }

    /// Whether the roster must be written again: in an older segment it would keep that one from being deleted, or it
    /// was already dropped with its segment.
    pub(super) fn is_roster_outdated(&self) -> bool {
        let newest = self.wal.newest_segment();
        self.roster.iter().any(|position| position.segment < newest || !self.wal.contains(*position))
    }

    /// Replaces the roster by these series, without their samples.
    pub(super) fn write_roster(&mut self, mut series: Vec<Series>) {
        for one in &mut series {
            one.samples.clear();
            one.native_histograms.clear();
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

    /// Acknowledges the records of the roster, after a graceful shutdown has written the staleness markers itself.
    pub(super) fn drop_roster(&mut self) {
        for position in std::mem::take(&mut self.roster) {
            self.acknowledge(position);
        }
    }
}
