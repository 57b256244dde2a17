//! The spool against crashes and disks that fail.

use std::collections::BTreeMap;

use nettleferry_wal::*;
use proptest::prelude::*;

fn limits() -> Limits {
    Limits { bytes: 4_000, segment_bytes: 300 }
}

fn open(disk: MemoryStorage) -> (WriteAheadLog<MemoryStorage>, Vec<(Position, Vec<u8>)>) {
    let (spool, found) = WriteAheadLog::open(disk, limits()).expect("opens");
    (spool, found.records)
}

fn payloads(records: &[(Position, Vec<u8>)]) -> Vec<u8> {
    records.iter().map(|(_, p)| p[0]).collect()
}

/// Ten records of 100 bytes, numbered by their bytes.
fn ten() -> (WriteAheadLog<MemoryStorage>, Vec<Position>) {
    let (mut spool, _) = open(MemoryStorage::default());
    let positions = (0..10).map(|n| spool.append(&[n; 100]).expect("kept")).collect();
    (spool, positions)
}

#[test]
fn what_was_not_acknowledged_comes_back_in_order_and_the_same() {
    let (mut spool, positions) = ten();
    for n in [0, 1, 4, 7] {
        spool.acknowledge(positions[n]).expect("kept");
    }
    let (spool, found) = open(spool.into_disk());
    assert_eq!(payloads(&found), [2, 3, 5, 6, 8, 9]);
    assert!(found.iter().all(|(_, p)| p.len() == 100));
    assert_eq!(spool.unacknowledged(), 6);
}

#[test]
fn acknowledged_segments_go_and_an_empty_spool_takes_no_room() {
    let (mut spool, positions) = ten();
    for position in &positions {
        spool.acknowledge(*position).expect("kept");
        spool.acknowledge(*position).expect("twice is nothing");
    }
    assert_eq!((spool.bytes(), spool.unacknowledged(), spool.counters().acknowledged), (0, 0, 10));
    assert!(spool.disk().files.is_empty());
    let (_, found) = open(spool.into_disk());
    assert!(found.is_empty());
}

#[test]
fn the_bound_on_disk_lets_the_oldest_go_and_tells() {
    let (mut spool, _) = open(MemoryStorage::default());
    for n in 0..100 {
        spool.append(&[n; 100]).expect("kept");
        assert!(spool.bytes() <= limits().bytes);
    }
    let dropped = spool.counters().dropped_full;
    let (_, found) = open(spool.into_disk());
    assert_eq!(found.len() as u64 + dropped, 100);
    assert_eq!(found.last().map(|(_, p)| p[0]), Some(99));
    assert_eq!(payloads(&found)[0] as u64, dropped);
}

#[test]
fn a_torn_tail_is_cut_off_at_the_last_good_record() {
    let (spool, _) = ten();
    let whole = spool.into_disk();
    let newest = *whole.files.keys().last().expect("there");
    let length = whole.files[&newest].len();
    for cut in 1..109 {
        let mut disk = whole.clone();
        disk.files.get_mut(&newest).expect("there").truncate(length - cut);
        let (mut spool, found) = open(disk);
        assert_eq!(payloads(&found), (0..9).collect::<Vec<u8>>(), "cut {cut}");
        assert_eq!(spool.counters().torn_bytes, 109 - cut as u64);
        // The next life goes on, and nothing of the tail comes back.
        spool.append(&[42; 100]).expect("kept");
        let (_, found) = open(spool.into_disk());
        assert_eq!(found.len(), 10);
        assert_eq!(found[9].1[0], 42);
    }
}

#[test]
fn a_full_disk_keeps_what_it_has_and_takes_more_when_there_is_room() {
    let (mut spool, positions) = ten();
    let used: usize = spool.disk().files.values().map(Vec::len).sum();
    spool.disk().room = Some(used + 50);
    assert!(matches!(spool.append(&[77; 100]), Err(WalError::Io(_))));
    assert_eq!(spool.counters().failed, 1);
    spool.disk().room = None;
    spool.append(&[78; 100]).expect("kept");
    spool.acknowledge(positions[0]).expect("kept");
    let (spool, found) = open(spool.into_disk());
    assert_eq!(payloads(&found), [1, 2, 3, 4, 5, 6, 7, 8, 9, 78], "nothing of the failed one stays");
    assert_eq!(spool.counters(), Counters::default(), "and nothing is damaged");
}

#[test]
fn a_read_only_disk_gives_what_it_holds() {
    let (spool, _) = ten();
    let mut disk = spool.into_disk();
    disk.read_only = true;
    let (mut spool, found) = open(disk);
    assert_eq!(found.len(), 10);
    assert!(spool.append(&[1; 10]).is_err());
    assert!(spool.acknowledge(found[0].0).is_err());
}

#[test]
fn a_folder_keeps_it_over_lives() {
    let folder = tempfile::tempdir().expect("a folder");
    let open = || {
        WriteAheadLog::open(DirectoryStorage::open(folder.path().join("spool")).expect("made"), limits())
            .expect("opens")
    };
    let (mut spool, _) = open();
    let first = spool.append(b"one").expect("kept");
    spool.append(b"two").expect("kept");
    spool.acknowledge(first).expect("kept");
    spool.sync().expect("durable");
    drop(spool);
    std::fs::write(folder.path().join("spool/notes.txt"), "not ours").expect("written");
    let (_, found) = open();
    assert_eq!(found.records.iter().map(|(_, p)| p.clone()).collect::<Vec<_>>(), [b"two".to_vec()]);
}

#[test]
fn a_record_that_is_too_long_is_told() {
    let (mut spool, _) = open(MemoryStorage::default());
    let error = spool.append(&vec![0; record::MOST_PAYLOAD + 1]).expect_err("too long").to_string();
    assert!(error.contains("at most 1048576"), "{error}");
}

proptest! {
    #[test]
    fn one_flipped_byte_never_gives_a_wrong_record(at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let (spool, _) = ten();
        let mut disk = spool.into_disk();
        let sizes: Vec<(u64, usize)> = disk.files.iter().map(|(n, f)| (*n, f.len())).collect();
        let mut place = at.index(sizes.iter().map(|s| s.1).sum());
        for (number, size) in sizes {
            if place < size {
                disk.files.get_mut(&number).expect("there")[place] ^= 1 << bit;
                break;
            }
            place -= size;
        }
        let (spool, found) = open(disk);
        let c = spool.counters();
        prop_assert!(found.len() < 10 && found.len() >= 7, "{} are left", found.len());
        prop_assert!(c.damaged + c.torn_bytes + c.lost_bytes > 0, "what is lost is told");
        for (_, payload) in &found {
            prop_assert!(payload.len() == 100 && payload.iter().all(|b| *b == payload[0]));
        }
        prop_assert!(payloads(&found).windows(2).all(|w| w[0] < w[1]));
    }

    #[test]
    fn noise_never_panics(files in prop::collection::btree_map(0u64..5, prop::collection::vec(any::<u8>(), 0..300), 0..4)) {
        let (mut spool, _) = open(MemoryStorage { files, ..MemoryStorage::default() });
        spool.append(b"x").expect("kept");
    }

    #[test]
    fn any_life_gives_back_what_is_open(
        steps in prop::collection::vec((0u8..10, any::<prop::sample::Index>()), 1..120),
    ) {
        let (mut spool, _) = open(MemoryStorage::default());
        let mut model: BTreeMap<Position, Vec<u8>> = BTreeMap::new();
        let mut count = 0u32;
        for (what, pick) in steps {
            match what {
                0..6 => {
                    count += 1;
                    let payload = count.to_le_bytes().to_vec();
                    let before = spool.counters().dropped_full;
                    let position = spool.append(&payload).expect("kept");
                    // What the bound let go are the oldest.
                    for _ in before..spool.counters().dropped_full {
                        model.pop_first();
                    }
                    model.insert(position, payload);
                }
                6..9 if !model.is_empty() => {
                    let position = *model.keys().nth(pick.index(model.len())).expect("there");
                    let before = spool.counters().dropped_full;
                    spool.acknowledge(position).expect("kept");
                    model.remove(&position);
                    for _ in before..spool.counters().dropped_full {
                        model.pop_first();
                    }
                }
                _ => {
                    let (next, found) = open(spool.into_disk());
                    spool = next;
                    prop_assert_eq!(&found.into_iter().collect::<BTreeMap<_, _>>(), &model);
                }
            }
            prop_assert_eq!(spool.unacknowledged(), model.len());
            prop_assert!(spool.bytes() <= limits().bytes);
        }
    }
}
