//! Segments, acknowledgements, recovery, the bound.
//!
//! Segments go in order, the oldest first: one is removed when all its records are acknowledged and no older
//! one is left. Acknowledgements are records themselves, written to the newest segment; since they speak of
//! their own segment or of older ones, none outlives its use or is removed before it.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use crate::error::WalError;
use crate::record::{self, Found, Kind};
use crate::storage::SegmentStorage;

/// Where a record stands: its name until it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Its segment.
    pub segment: u64,
    /// Its offset there.
    pub offset: u64,
}

/// Bounds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of all segments at the most; the oldest segment goes first.
    pub bytes: u64,
    /// A segment of so many bytes is closed and another begun.
    pub segment_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { bytes: 256 << 20, segment_bytes: 8 << 20 }
    }
}

/// What was lost or let go, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records appended.
    pub appended: u64,
    /// Records acknowledged.
    pub acknowledged: u64,
    /// Records let go unacknowledged because of [`Limits::bytes`].
    pub dropped_full: u64,
    /// Records found damaged.
    pub damaged: u64,
    /// Bytes cut off as a torn tail.
    pub torn_bytes: u64,
    /// Bytes that could not be read past damage.
    pub lost_bytes: u64,
    /// Appends that the disk refused.
    pub failed: u64,
}

/// What a start finds.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Records that were not acknowledged, in the order in which they were appended.
    pub records: Vec<(Position, Vec<u8>)>,
}

#[derive(Default)]
struct Segment {
    bytes: u64,
    /// Offsets of records that are not acknowledged.
    open: BTreeSet<u64>,
}

/// The log.
pub struct WriteAheadLog<D> {
    disk: D,
    limits: Limits,
    segments: BTreeMap<u64, Segment>,
    /// The newest segment, written to.
    last: u64,
    counters: Counters,
    /// The tail of the newest segment may hold part of a failed append.
    dirty: bool,
}

impl<D: SegmentStorage> WriteAheadLog<D> {
    /// Opens what is there: a torn tail is cut off at the last good record, damage in the middle is passed over
    /// and counted.
    pub fn open(disk: D, limits: Limits) -> Result<(Self, Recovered), WalError> {
        let numbers = disk.list()?;
        let mut log = Self {
            disk,
            limits,
            segments: BTreeMap::new(),
            last: 0,
            counters: Counters::default(),
            dirty: false,
        };
        let mut records: BTreeMap<Position, Vec<u8>> = BTreeMap::new();
        for (place, number) in numbers.iter().copied().enumerate() {
            let newest = place + 1 == numbers.len();
            log.scan(number, newest, &mut records)?;
            log.last = number;
        }
        for position in records.keys() {
            if let Some(segment) = log.segments.get_mut(&position.segment) {
                segment.open.insert(position.offset);
            }
        }
        // A new life writes to a segment of its own: what it finds is never written behind.
        log.last += 1;
        log.sweep()?;
        Ok((log, Recovered { records: records.into_iter().collect() }))
    }

    fn scan(
        &mut self,
        number: u64,
        newest: bool,
        records: &mut BTreeMap<Position, Vec<u8>>,
    ) -> Result<(), WalError> {
        let bytes = self.disk.read(number)?;
        let (mut at, mut end) = (0, bytes.len());
        loop {
            match record::read(&bytes, at) {
                Found::End => break,
                Found::Sound { kind: Kind::Data, payload, next } => {
                    records.insert(Position { segment: number, offset: at as u64 }, payload.to_vec());
                    at = next;
                }
                Found::Sound { kind: Kind::Ack, payload, next } => {
                    if let Some(position) = read_position(payload) {
                        records.remove(&position);
                    }
                    at = next;
                }
                // The last record of the newest segment with a bad sum: written in part.
                Found::Damaged { next } if !(newest && next == bytes.len()) => {
                    self.counters.damaged += 1;
                    at = next;
                }
                Found::Damaged { .. } | Found::Torn => {
                    let rest = (bytes.len() - at) as u64;
                    if newest {
                        self.counters.torn_bytes += rest;
                        // A disk that can't be written keeps its tail; it is cut off again next time.
                        if self.disk.cut(number, at as u64).is_ok() {
                            end = at;
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

    /// What was lost or let go.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Bytes on disk.
    pub fn bytes(&self) -> u64 {
        self.segments.values().map(|s| s.bytes).sum()
    }

    /// The segment that is written to. A record in an older one that is long kept holds back the segments after
    /// it: its owner writes it anew and acknowledges the old one.
    pub fn newest(&self) -> u64 {
        self.last
    }

    /// Records that are not acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.segments.values().map(|s| s.open.len()).sum()
    }

    /// Is this record kept, and not acknowledged?
    pub fn holds(&self, position: Position) -> bool {
        self.segments.get(&position.segment).is_some_and(|s| s.open.contains(&position.offset))
    }

    /// The disk: for tests, and to look at.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Ends the log and gives its storage back.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Appends a record. On an error nothing of it stays.
    pub fn append(&mut self, payload: &[u8]) -> Result<Position, WalError> {
        let position = self.write(Kind::Data, payload)?;
        self.counters.appended += 1;
        if let Some(segment) = self.segments.get_mut(&position.segment) {
            segment.open.insert(position.offset);
        }
        Ok(position)
    }

    /// Acknowledges a record; one that is acknowledged or gone is nothing.
    pub fn acknowledge(&mut self, position: Position) -> Result<(), WalError> {
        let known = self.segments.get_mut(&position.segment).is_some_and(|s| s.open.remove(&position.offset));
        if !known {
            return Ok(());
        }
        self.counters.acknowledged += 1;
        let mut payload = [0; 16];
        payload[..8].copy_from_slice(&position.segment.to_le_bytes());
        payload[8..].copy_from_slice(&position.offset.to_le_bytes());
        // Where the last open record of all goes, its segment goes as well: no word of it is needed.
        let written =
            if self.unacknowledged() == 0 { Ok(()) } else { self.write(Kind::Ack, &payload).map(|_| ()) };
        self.sweep()?;
        written
    }

    /// What was appended and acknowledged before is durable after this.
    pub fn sync(&mut self) -> Result<(), WalError> {
        if self.segments.contains_key(&self.last) {
            self.disk.sync(self.last)?;
        }
        Ok(())
    }

    fn write(&mut self, kind: Kind, payload: &[u8]) -> Result<Position, WalError> {
        let bytes = record::write(kind, payload)?;
        let full = self.segments.get(&self.last).is_some_and(|s| s.bytes >= self.limits.segment_bytes);
        if full || self.dirty && !self.clean() {
            // A tail that can't be cut is left behind in a closed segment, where it is passed over.
            self.last += 1;
            self.dirty = false;
        }
        self.make_room(bytes.len() as u64)?;
        let segment = self.last;
        let offset = self.segments.get(&segment).map_or(0, |s| s.bytes);
        if let Err(error) = self.disk.append(segment, &bytes) {
            self.counters.failed += 1;
            self.segments.entry(segment).or_default();
            self.dirty = true;
            self.clean();
            return Err(error.into());
        }
        self.segments.entry(segment).or_default().bytes += bytes.len() as u64;
        Ok(Position { segment, offset })
    }

    /// Cuts off what a failed append left.
    fn clean(&mut self) -> bool {
        let length = self.segments.get(&self.last).map_or(0, |s| s.bytes);
        let cut = self.disk.cut(self.last, length);
        if cut.is_ok() || matches!(&cut, Err(e) if e.kind() == io::ErrorKind::NotFound) {
            self.dirty = false;
        }
        !self.dirty
    }

    /// The oldest segments go until `more` bytes fit.
    fn make_room(&mut self, more: u64) -> Result<(), WalError> {
        while self.bytes() + more > self.limits.bytes {
            let Some((&oldest, segment)) = self.segments.first_key_value() else { break };
            self.counters.dropped_full += segment.open.len() as u64;
            self.discard(oldest)?;
            self.segments.remove(&oldest);
            if oldest == self.last {
                self.last += 1;
                break;
            }
        }
        Ok(())
    }

    /// A file that is gone already, or never came about because the disk refused it, is as good as removed.
    fn discard(&mut self, segment: u64) -> io::Result<()> {
        match self.disk.remove(segment) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            other => other,
        }
    }

    /// Removes segments that are of no use any more, the oldest first.
    fn sweep(&mut self) -> Result<(), WalError> {
        while let Some((&oldest, segment)) = self.segments.first_key_value() {
            if !segment.open.is_empty() {
                break;
            }
            self.discard(oldest)?;
            self.segments.remove(&oldest);
            if oldest == self.last {
                self.last += 1;
            }
        }
        Ok(())
    }
}

fn read_position(payload: &[u8]) -> Option<Position> {
    let segment = u64::from_le_bytes(payload.get(..8)?.try_into().ok()?);
    let offset = u64::from_le_bytes(payload.get(8..16)?.try_into().ok()?);
    Some(Position { segment, offset })
}
