//! The log: segments, acknowledgements, recovery, the bound.
//!
//! Segments are removed in order, the oldest first: one is removed when all its records are acknowledged and no older one
//! is left. Acknowledgements are records themselves, written to the newest segment; since they refer to their own segment
//! or to older ones, none outlives its use or is removed before it.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use crate::error::WalError;
use crate::record::{self, ReadOutcome, RecordKind};
use crate::storage::SegmentStorage;

/// The place of a record, which identifies it until it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Its segment.
    pub segment: u64,
    /// Its offset there.
    pub offset: u64,
}

/// Bounds of a log.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes of all segments; the oldest segment is dropped first.
    pub bytes: u64,
    /// A segment that has so many bytes is closed, and another one begun.
    pub segment_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { bytes: 256 << 20, segment_bytes: 8 << 20 }
    }
}

/// What became of records and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records appended.
    pub appended: u64,
    /// Records acknowledged.
    pub acknowledged: u64,
    /// Records dropped unacknowledged because of [`Limits::bytes`].
    pub dropped_full: u64,
    /// Records found damaged.
    pub damaged: u64,
    /// Bytes truncated as a torn tail.
    pub torn_bytes: u64,
    /// Bytes that could not be read past damage.
    pub lost_bytes: u64,
    /// Appends that the storage failed.
    pub failed_appends: u64,
}

/// A record that was not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// Its place.
    pub position: Position,
    /// Its payload.
    pub payload: Vec<u8>,
}

/// What opening a log has recovered.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Records that were not acknowledged, in the order in which they were appended.
    pub records: Vec<RecoveredRecord>,
}

#[derive(Default)]
struct Segment {
    bytes: u64,
    /// Offsets of records that are not acknowledged.
    open: BTreeSet<u64>,
}

/// The log, over its storage.
pub struct WriteAheadLog<S> {
    storage: S,
    limits: Limits,
    segments: BTreeMap<u64, Segment>,
    /// The newest segment, written to.
    last: u64,
    counters: Counters,
    /// The tail of the newest segment may hold part of a failed append.
    dirty: bool,
}

impl<S: SegmentStorage> WriteAheadLog<S> {
    /// Opens a log: a torn tail is truncated after the last valid record, damage in the middle is skipped and counted.
    ///
    /// # Errors
    /// Where the storage fails.
    pub fn open(storage: S, limits: Limits) -> Result<(Self, Recovered), WalError> {
        let numbers = storage.list()?;
        let mut log = Self {
            storage,
            limits,
            segments: BTreeMap::new(),
            last: 0,
            counters: Counters::default(),
            dirty: false,
        };
        let mut records: BTreeMap<Position, Vec<u8>> = BTreeMap::new();
        for (index, number) in numbers.iter().copied().enumerate() {
            let newest = index + 1 == numbers.len();
            log.scan(number, newest, &mut records)?;
            log.last = number;
        }
        for position in records.keys() {
            if let Some(segment) = log.segments.get_mut(&position.segment) {
                segment.open.insert(position.offset);
            }
        }
        // Each incarnation begins a new segment: recovered segments are never appended to.
        log.last += 1;
        log.remove_acknowledged_segments()?;
        let recovered = records.into_iter().map(|(position, payload)| RecoveredRecord { position, payload });
        Ok((log, Recovered { records: recovered.collect() }))
    }

    /// Reads a segment: data is added to the records, and acknowledged records are removed.
    fn scan(
        &mut self,
        number: u64,
        newest: bool,
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
                // At the end of the newest segment it would be a torn tail, which is handled below.
                ReadOutcome::Damaged { next } if !(newest && next == bytes.len()) => {
                    self.counters.damaged += 1;
                    offset = next;
                }
                ReadOutcome::Damaged { .. } | ReadOutcome::Torn => {
                    let rest = (bytes.len() - offset) as u64;
                    if newest {
                        self.counters.torn_bytes += rest;
                        // A storage that can't be written keeps its tail; it is truncated next time.
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
        self.segments.insert(number, Segment { bytes: end as u64, open: BTreeSet::new() });
        Ok(())
    }

    /// What became of records and bytes.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Bytes in the storage.
    pub fn bytes(&self) -> u64 {
        self.segments.values().map(|s| s.bytes).sum()
    }

    /// The segment that is written to. A record that stays in an older one holds back the segments after it: its owner
    /// appends it again and acknowledges the old one.
    pub fn newest_segment(&self) -> u64 {
        self.last
    }

    /// Records that are not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.segments.values().map(|s| s.open.len()).sum()
    }

    /// Whether a record is in the log, and not acknowledged.
    pub fn contains(&self, position: Position) -> bool {
        self.segments.get(&position.segment).is_some_and(|s| s.open.contains(&position.offset))
    }

    /// The storage, for tests.
    pub fn storage(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Ends the log and returns its storage.
    pub fn into_storage(self) -> S {
        self.storage
    }

    /// Appends a record.
    ///
    /// # Errors
    /// Where it is too long or the storage fails: nothing of it stays then.
    pub fn append(&mut self, payload: &[u8]) -> Result<Position, WalError> {
        let position = self.write(RecordKind::Data, payload)?;
        self.counters.appended += 1;
        if let Some(segment) = self.segments.get_mut(&position.segment) {
            segment.open.insert(position.offset);
        }
        Ok(position)
    }

    /// Acknowledges a record; one that is acknowledged or dropped is ignored.
    ///
    /// # Errors
    /// Where the storage fails.
    pub fn acknowledge(&mut self, position: Position) -> Result<(), WalError> {
        let known = self.segments.get_mut(&position.segment).is_some_and(|s| s.open.remove(&position.offset));
        if !known {
            return Ok(());
        }
        self.counters.acknowledged += 1;
        let mut payload = [0; 16];
        payload[..8].copy_from_slice(&position.segment.to_le_bytes());
        payload[8..].copy_from_slice(&position.offset.to_le_bytes());
        // With the last open record all segments are removed: no acknowledgement need be written.
        let written = if self.unacknowledged() == 0 {
            Ok(())
        } else {
            self.write(RecordKind::Ack, &payload).map(|_| ())
        };
        self.remove_acknowledged_segments()?;
        written
    }

    /// Makes durable what was appended and acknowledged before.
    ///
    /// # Errors
    /// Where the storage fails.
    pub fn sync(&mut self) -> Result<(), WalError> {
        if self.segments.contains_key(&self.last) {
            self.storage.sync(self.last)?;
        }
        Ok(())
    }

    /// Appends a record of a kind to the newest segment.
    fn write(&mut self, kind: RecordKind, payload: &[u8]) -> Result<Position, WalError> {
        let bytes = record::encode(kind, payload)?;
        let full = self.segments.get(&self.last).is_some_and(|s| s.bytes >= self.limits.segment_bytes);
        if full || self.dirty && !self.truncate_failed_append() {
            // A tail that can't be truncated is left in a closed segment, where it is skipped.
            self.last += 1;
            self.dirty = false;
        }
        self.make_room(bytes.len() as u64)?;
        let segment = self.last;
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

    /// Truncates what a failed append left; false: it could not.
    fn truncate_failed_append(&mut self) -> bool {
        let length = self.segments.get(&self.last).map_or(0, |s| s.bytes);
        let truncated = self.storage.truncate(self.last, length);
        if truncated.is_ok() || matches!(&truncated, Err(e) if e.kind() == io::ErrorKind::NotFound) {
            self.dirty = false;
        }
        !self.dirty
    }

    /// Drops the oldest segments until `additional` bytes fit.
    fn make_room(&mut self, additional: u64) -> Result<(), WalError> {
        while self.bytes() + additional > self.limits.bytes {
            let Some((&oldest, segment)) = self.segments.first_key_value() else { break };
            self.counters.dropped_full += segment.open.len() as u64;
            self.remove_file(oldest)?;
            self.segments.remove(&oldest);
            if oldest == self.last {
                self.last += 1;
                break;
            }
        }
        Ok(())
    }

    /// Removes a segment's file, which may not exist where its first append failed.
    fn remove_file(&mut self, segment: u64) -> io::Result<()> {
        match self.storage.remove(segment) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            other => other,
        }
    }

    /// Removes segments without open records, the oldest first.
    fn remove_acknowledged_segments(&mut self) -> Result<(), WalError> {
        while let Some((&oldest, segment)) = self.segments.first_key_value() {
            if !segment.open.is_empty() {
                break;
            }
            self.remove_file(oldest)?;
            self.segments.remove(&oldest);
            if oldest == self.last {
                self.last += 1;
            }
        }
        Ok(())
    }
}

/// The position that an acknowledgement refers to.
fn read_position(payload: &[u8]) -> Option<Position> {
    let segment = u64::from_le_bytes(payload.get(..8)?.try_into().ok()?);
    let offset = u64::from_le_bytes(payload.get(8..16)?.try_into().ok()?);
    Some(Position { segment, offset })
}
