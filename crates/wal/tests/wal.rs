//! Recovery of the write-ahead log after crashes, storage failures and damage.

use std::collections::BTreeMap;

use nettleferry_wal::*;
use proptest::prelude::*;

fn limits() -> Limits {
    Limits { bytes: 4_000, segment_bytes: 300 }
}

fn open(storage: MemoryStorage) -> (WriteAheadLog<MemoryStorage>, Vec<RecoveredRecord>) {
    let (log, recovered) = WriteAheadLog::open(storage, limits()).expect("the log opens");
    (log, recovered.records)
}

/// The first byte of each payload.
fn first_bytes(records: &[RecoveredRecord]) -> Vec<u8> {
    records.iter().map(|record| record.payload[0]).collect()
}

/// A log with ten records of 100 bytes each. Record `n` repeats the byte `n`.
fn log_of_ten_records() -> (WriteAheadLog<MemoryStorage>, Vec<Position>) {
    let (mut log, _) = open(MemoryStorage::default());
    let positions = (0..10).map(|n| log.append(&[n; 100]).expect("the append succeeds")).collect();
    (log, positions)
}

#[test]
fn unacknowledged_records_are_recovered_in_order() {
    let (mut log, positions) = log_of_ten_records();
    for n in [0, 1, 4, 7] {
        log.acknowledge(positions[n]).expect("the acknowledgement succeeds");
    }
    let (log, found) = open(log.into_storage());
    assert_eq!(first_bytes(&found), [2, 3, 5, 6, 8, 9]);
    assert!(found.iter().all(|record| record.payload.len() == 100));
    assert_eq!(log.unacknowledged(), 6);
}

#[test]
fn acknowledged_segments_are_removed() {
    let (mut log, positions) = log_of_ten_records();
    for position in &positions {
        log.acknowledge(*position).expect("the acknowledgement succeeds");
        log.acknowledge(*position).expect("a second acknowledgement is ignored");
    }
    assert_eq!((log.bytes(), log.unacknowledged(), log.counters().acknowledged), (0, 0, 10));
    assert!(log.storage().files.is_empty());
    let (_, found) = open(log.into_storage());
    assert!(found.is_empty());
}

#[test]
fn size_limit_drops_the_oldest_records_and_counts_them() {
    let (mut log, _) = open(MemoryStorage::default());
    for n in 0..100 {
        log.append(&[n; 100]).expect("the append succeeds");
        assert!(log.bytes() <= limits().bytes);
    }
    let dropped = log.counters().dropped_full;
    let (_, found) = open(log.into_storage());
    assert_eq!(found.len() as u64 + dropped, 100);
    assert_eq!(found.last().map(|record| record.payload[0]), Some(99));
    assert_eq!(first_bytes(&found)[0] as u64, dropped);
}

#[test]
fn torn_tail_is_truncated_after_the_last_valid_record() {
    let (log, _) = log_of_ten_records();
    let intact = log.into_storage();
    let newest = *intact.files.keys().last().expect("the log has a segment");
    let length = intact.files[&newest].len();
    for cut in 1..109 {
        let mut storage = intact.clone();
        storage.files.get_mut(&newest).expect("the newest segment exists").truncate(length - cut);
        let (mut log, found) = open(storage);
        assert_eq!(first_bytes(&found), (0..9).collect::<Vec<u8>>(), "cut {cut}");
        assert_eq!(log.counters().torn_bytes, 109 - cut as u64);
        // The log accepts appends, and the truncated record is never recovered.
        log.append(&[42; 100]).expect("the append succeeds");
        let (_, found) = open(log.into_storage());
        assert_eq!(found.len(), 10);
        assert_eq!(found[9].payload[0], 42);
    }
}

#[test]
fn full_storage_keeps_its_records_and_accepts_more_later() {
    let (mut log, positions) = log_of_ten_records();
    let used: usize = log.storage().files.values().map(Vec::len).sum();
    log.storage().capacity = Some(used + 50);
    assert!(matches!(log.append(&[77; 100]), Err(WalError::Io(_))));
    assert_eq!(log.counters().failed_appends, 1);
    log.storage().capacity = None;
    log.append(&[78; 100]).expect("the append succeeds");
    log.acknowledge(positions[0]).expect("the acknowledgement succeeds");
    let (log, found) = open(log.into_storage());
    assert_eq!(first_bytes(&found), [1, 2, 3, 4, 5, 6, 7, 8, 9, 78], "the failed record is not recovered");
    assert_eq!(log.counters(), Counters::default(), "nothing is damaged");
}

#[test]
fn read_only_storage_is_recovered() {
    let (log, _) = log_of_ten_records();
    let mut storage = log.into_storage();
    storage.read_only = true;
    let (mut log, found) = open(storage);
    assert_eq!(found.len(), 10);
    assert!(log.append(&[1; 10]).is_err());
    assert!(log.acknowledge(found[0].position).is_err());
}

#[test]
fn directory_storage_persists_records() {
    let parent = tempfile::tempdir().expect("temporary directory created");
    let open = || {
        let storage = DirectoryStorage::open(parent.path().join("spool")).expect("directory created");
        WriteAheadLog::open(storage, limits()).expect("the log opens")
    };
    let (mut log, _) = open();
    let first = log.append(b"one").expect("the append succeeds");
    log.append(b"two").expect("the append succeeds");
    log.acknowledge(first).expect("the acknowledgement succeeds");
    log.sync().expect("the sync succeeds");
    drop(log);
    std::fs::write(parent.path().join("spool/notes.txt"), "not a segment").expect("other file written");
    let (_, found) = open();
    assert_eq!(
        found.records.iter().map(|record| record.payload.clone()).collect::<Vec<_>>(),
        [b"two".to_vec()]
    );
}

#[test]
fn oversized_record_is_rejected() {
    let (mut log, _) = open(MemoryStorage::default());
    let error =
        log.append(&vec![0; record::MAX_PAYLOAD_BYTES + 1]).expect_err("the payload is too long").to_string();
    assert!(error.contains("at most 1048576"), "{error}");
}

proptest! {
    #[test]
    fn flipped_bit_never_yields_a_wrong_record(at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let (log, _) = log_of_ten_records();
        let mut storage = log.into_storage();
        let sizes: Vec<(u64, usize)> = storage.files.iter().map(|(n, f)| (*n, f.len())).collect();
        let mut position = at.index(sizes.iter().map(|s| s.1).sum());
        for (number, size) in sizes {
            if position < size {
                storage.files.get_mut(&number).expect("the segment exists")[position] ^= 1 << bit;
                break;
            }
            position -= size;
        }
        let (log, found) = open(storage);
        let counters = log.counters();
        prop_assert!(found.len() < 10 && found.len() >= 7, "{} of 10 records recovered", found.len());
        prop_assert!(counters.damaged + counters.torn_bytes + counters.lost_bytes > 0, "lost records are counted");
        for RecoveredRecord { payload, .. } in &found {
            prop_assert!(payload.len() == 100 && payload.iter().all(|b| *b == payload[0]));
        }
        prop_assert!(first_bytes(&found).windows(2).all(|w| w[0] < w[1]));
    }

    #[test]
    fn random_segment_content_never_panics(
        files in prop::collection::btree_map(0u64..5, prop::collection::vec(any::<u8>(), 0..300), 0..4),
    ) {
        let (mut log, _) = open(MemoryStorage { files, ..MemoryStorage::default() });
        log.append(b"x").expect("the append succeeds");
    }

    #[test]
    fn log_matches_a_model_across_reopens(
        steps in prop::collection::vec((0u8..10, any::<prop::sample::Index>()), 1..120),
    ) {
        let (mut log, _) = open(MemoryStorage::default());
        let mut model: BTreeMap<Position, Vec<u8>> = BTreeMap::new();
        let mut appended = 0u32;
        for (action, pick) in steps {
            match action {
                0..6 => {
                    appended += 1;
                    let payload = appended.to_le_bytes().to_vec();
                    let dropped_before = log.counters().dropped_full;
                    let position = log.append(&payload).expect("the append succeeds");
                    // The size limit drops the oldest records.
                    for _ in dropped_before..log.counters().dropped_full {
                        model.pop_first();
                    }
                    model.insert(position, payload);
                }
                6..9 if !model.is_empty() => {
                    let position = *model.keys().nth(pick.index(model.len())).expect("the index is within the model");
                    let dropped_before = log.counters().dropped_full;
                    log.acknowledge(position).expect("the acknowledgement succeeds");
                    model.remove(&position);
                    for _ in dropped_before..log.counters().dropped_full {
                        model.pop_first();
                    }
                }
                _ => {
                    let (reopened, found) = open(log.into_storage());
                    log = reopened;
                    prop_assert_eq!(&found.into_iter().map(|record| (record.position, record.payload)).collect::<BTreeMap<_, _>>(), &model);
                }
            }
            prop_assert_eq!(log.unacknowledged(), model.len());
            prop_assert!(log.bytes() <= limits().bytes);
        }
    }
}
