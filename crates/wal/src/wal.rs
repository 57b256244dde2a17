//! The write-ahead log: segments, acknowledgements, recovery and the size limit.
//!
//! Segments are removed in order: a segment is removed once all its records are acknowledged and no older segment is
//! left. Acknowledgements are records as well and are written to the newest segment. They refer only to records of the
//! same or an older segment, so an acknowledgement is never removed before the record that it refers to.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use crate::error::WalError;
use crate::record::{self, ReadOutcome, RecordKind};
use crate::storage::SegmentStorage;

/// The location of a record in the log, which identifies the record until it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The number of the segment.
    pub segment: u64,
    /// The byte offset in the segment.
    pub offset: u64,
}

/// Size limits of a log.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum bytes of all segments together. Beyond it the oldest segments are dropped.
    pub bytes: u64,
    /// A segment that has reached this size in bytes is closed, and the next one is started.
    pub segment_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { bytes: 256 << 20, segment_bytes: 8 << 20 }
    }
}

/// Counts since the log was opened, including what its recovery found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Data records that were appended.
    pub appended: u64,
    /// Records that were acknowledged.
    pub acknowledged: u64,
    /// Unacknowledged records that were dropped because the log reached [`Limits::bytes`].
    pub dropped_full: u64,
    /// Damaged records that recovery skipped.
    pub damaged: u64,
    /// Bytes from a torn or damaged last record to the end of the newest segment.
    pub torn_bytes: u64,
    /// Bytes from a torn record to the end of an older segment. No records can be located in them.
    pub lost_bytes: u64,
    /// Appends of data records or acknowledgements that failed in the storage.
    pub failed_appends: u64,
}

/// An unacknowledged record that was found when the log was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// The location of the record in the log.
    pub position: Position,
    /// The payload that was appended.
    pub payload: Vec<u8>,
}

/// The records that were recovered when the log was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// All unacknowledged records, in the order in which they were appended.
    pub records: Vec<RecoveredRecord>,
}

#[derive(Default)]
struct Segment {
    bytes: u64,
    /// Offsets of the records that are not acknowledged.
    unacknowledged: BTreeSet<u64>,
}

/// A write-ahead log whose segments are files of the storage `S`.
pub struct WriteAheadLog<S> {
    storage: S,
    limits: Limits,
    segments: BTreeMap<u64, Segment>,
    /// The number of the segment that is written to. Its file is created by the first append.
    newest: u64,
    counters: Counters,
    /// Whether part of a failed append may be left at the end of the newest segment.
    dirty: bool,
}

impl<S: SegmentStorage> WriteAheadLog<S> {
    /// Opens a log and recovers its unacknowledged records. A torn record at the end is truncated. Damaged
    /// records before it are skipped and counted.
    ///
    /// # Errors
    /// Returns an error if the storage fails.
    pub fn open(storage: S, limits: Limits) -> Result<(Self, Recovered), WalError> {
        let numbers = storage.list()?;
        let mut log = Self {
            storage,
            limits,
            segments: BTreeMap::new(),
            newest: 0,
            counters: Counters::default(),
            dirty: false,
        };
        let mut records: BTreeMap<Position, Vec<u8>> = BTreeMap::new();
        for (index, number) in numbers.iter().copied().enumerate() {
            let is_newest = index + 1 == numbers.len();
            log.scan(number, is_newest, &mut records)?;
            log.newest = number;
        }
        for position in records.keys() {
            if let Some(segment) = log.segments.get_mut(&position.segment) {
                segment.unacknowledged.insert(position.offset);
            }
        }
        // Recovered segments are never appended to: each time the log is opened, a new segment begins.
        log.newest += 1;
        log.remove_acknowledged_segments()?;
        let recovered = records.into_iter().map(|(position, payload)| RecoveredRecord { position, payload });
        Ok((log, Recovered { records: recovered.collect() }))
    }

    /// Reads a segment. Adds its data records to `records` and removes those that it acknowledges.
    fn scan(
        &mut self,
        number: u64,
        is_newest: bool,
        records: &mut BTreeMap<Position, Vec<u8>>,
    ) -> Result<(), WalError> {
        let bytes = self.storage.read(number)?;
        let (mut offset, mut end) = (0, bytes.len());
        loop {
            match record::decode(&bytes, offset) {
                ReadOutcome::End => break,
                ReadOutcome::Valid { kind: RecordKind::Data, payload, next } => {
                    records.insert(Position { segment: number, offset: offset as u64 }, payload.to_vec());
                    offset = next;
                }
                ReadOutcome::Valid { kind: RecordKind::Ack, payload, next } => {
                    if let Some(position) = read_position(payload) {
                        records.remove(&position);
                    }
                    offset = next;
                }
                // A damaged record at the end of the newest segment is handled as a torn one below.
                ReadOutcome::Damaged { next } if !(is_newest && next == bytes.len()) => {
                    self.counters.damaged += 1;
                    offset = next;
                }
                ReadOutcome::Damaged { .. } | ReadOutcome::Torn => {
                    let rest = (bytes.len() - offset) as u64;
                    if is_newest {
                        self.counters.torn_bytes += rest;
                        // If the storage can't be written now, the record is truncated when the log is next opened.
                        if self.storage.truncate(number, offset as u64).is_ok() {
                            end = offset;
                        }
                    } else {
                        self.counters.lost_bytes += rest;
                    }
                    break;
                }
            }
        }
        self.segments.insert(number, Segment { bytes: end as u64, unacknowledged: BTreeSet::new() });
        Ok(())
    }

    /// Counts since the log was opened, including what its recovery found.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Total bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.values().map(|s| s.bytes).sum()
    }

    /// The number of the segment that is written to. An unacknowledged record in an older segment prevents
    /// the removal of all segments after it. To release them, the owner of the log can append the record
    /// again and acknowledge the old copy.
    pub fn newest_segment(&self) -> u64 {
        self.newest
    }

    /// Number of records that are not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.segments.values().map(|s| s.unacknowledged.len()).sum()
    }

    /// Whether the log contains the record and it is not acknowledged.
    pub fn contains(&self, position: Position) -> bool {
        self.segments.get(&position.segment).is_some_and(|s| s.unacknowledged.contains(&position.offset))
    }

    /// The storage. Tests use it to inspect files and to make operations fail.
    pub fn storage(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Closes the log and returns its storage.
    pub fn into_storage(self) -> S {
        self.storage
    }

    /// Appends a record.
    ///
    /// # Errors
    /// Returns an error if the payload is longer than [`record::MAX_PAYLOAD_BYTES`] or the storage fails. The
    /// record is not part of the log then.
    pub fn append(&mut self, payload: &[u8]) -> Result<Position, WalError> {
        let position = self.write(RecordKind::Data, payload)?;
        self.counters.appended += 1;
        if let Some(segment) = self.segments.get_mut(&position.segment) {
            segment.unacknowledged.insert(position.offset);
        }
        Ok(position)
    }

    /// Acknowledges a record. Does nothing if the record was acknowledged or dropped before.
    ///
    /// # Errors
    /// Returns an error if the storage fails. The record counts as acknowledged, but may be recovered when
    /// the log is opened again.
    pub fn acknowledge(&mut self, position: Position) -> Result<(), WalError> {
        let segment = self.segments.get_mut(&position.segment);
        let removed = segment.is_some_and(|s| s.unacknowledged.remove(&position.offset));
        if !removed {
            return Ok(());
        }
        self.counters.acknowledged += 1;
        let mut payload = [0; 16];
        payload[..8].copy_from_slice(&position.segment.to_le_bytes());
        payload[8..].copy_from_slice(&position.offset.to_le_bytes());
        // After the last unacknowledged record all segments are removed, so its acknowledgement need not be written.
        let write_result = if self.unacknowledged() == 0 {
            Ok(())
        } else {
            self.write(RecordKind::Ack, &payload).map(|_| ())
        };
        self.remove_acknowledged_segments()?;
        write_result
    }

    /// Makes the appends and acknowledgements in the newest segment durable. Those in a segment that was
    /// closed since the previous sync are not synced.
    ///
    /// # Errors
    /// Returns an error if the storage fails.
    pub fn sync(&mut self) -> Result<(), WalError> {
        if self.segments.contains_key(&self.newest) {
            self.storage.sync(self.newest)?;
        }
        Ok(())
    }

    /// Appends a record of either kind to the newest segment, or to a new one if that is full.
    fn write(&mut self, kind: RecordKind, payload: &[u8]) -> Result<Position, WalError> {
        let bytes = record::encode(kind, payload)?;
        let full = self.segments.get(&self.newest).is_some_and(|s| s.bytes >= self.limits.segment_bytes);
        if full || self.dirty && !self.truncate_failed_append() {
            // A partial record that can't be truncated stays at the end of the closed segment, where recovery skips it.
            self.newest += 1;
            self.dirty = false;
        }
        self.drop_oldest_segments(bytes.len() as u64)?;
        let segment = self.newest;
        let offset = self.segments.get(&segment).map_or(0, |s| s.bytes);
        if let Err(error) = self.storage.append(segment, &bytes) {
            self.counters.failed_appends += 1;
            self.segments.entry(segment).or_default();
            self.dirty = true;
            self.truncate_failed_append();
            return Err(error.into());
        }
        self.segments.entry(segment).or_default().bytes += bytes.len() as u64;
        Ok(Position { segment, offset })
    }

    /// Truncates the bytes that a failed append may have written. Returns false if the truncation fails as
    /// well.
    fn truncate_failed_append(&mut self) -> bool {
        let length = self.segments.get(&self.newest).map_or(0, |s| s.bytes);
        let truncated = self.storage.truncate(self.newest, length);
        if truncated.is_ok() || matches!(&truncated, Err(e) if e.kind() == io::ErrorKind::NotFound) {
            self.dirty = false;
        }
        !self.dirty
    }

    /// Drops the oldest segments, with their unacknowledged records, until `additional` bytes fit within
    /// [`Limits::bytes`].
    fn drop_oldest_segments(&mut self, additional: u64) -> Result<(), WalError> {
        while self.bytes() + additional > self.limits.bytes {
            let Some((&oldest, segment)) = self.segments.first_key_value() else { break };
            self.counters.dropped_full += segment.unacknowledged.len() as u64;
            self.remove_file(oldest)?;
            self.segments.remove(&oldest);
            if oldest == self.newest {
                self.newest += 1;
                break;
            }
        }
        Ok(())
    }

    /// Removes the file of a segment. The file may not exist if the first append to it failed.
    fn remove_file(&mut self, segment: u64) -> io::Result<()> {
        match self.storage.remove(segment) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            other => other,
        }
    }

    /// Removes segments without unacknowledged records, from the oldest one on.
    fn remove_acknowledged_segments(&mut self) -> Result<(), WalError> {
        while let Some((&oldest, segment)) = self.segments.first_key_value() {
            if !segment.unacknowledged.is_empty() {
                break;
            }
            self.remove_file(oldest)?;
            self.segments.remove(&oldest);
            if oldest == self.newest {
                self.newest += 1;
            }
        }
        Ok(())
    }
}

/// Decodes the payload of an acknowledgement; `None` if it is too short.
fn read_position(payload: &[u8]) -> Option<Position> {
    let segment = u64::from_le_bytes(payload.get(..8)?.try_into().ok()?);
    let offset = u64::from_le_bytes(payload.get(8..16)?.try_into().ok()?);
    Some(Position { segment, offset })
}
