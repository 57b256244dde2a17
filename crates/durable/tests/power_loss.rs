//! Simulated power loss at every operation of a write, with every combination of unsynced changes that may survive.

use std::path::Path;

use nettleferry_durable::{FileContents, Loss, MemoryStorage, RecordFile, Storage};

const LOSSES: [Loss; 3] = [Loss::Lost, Loss::Torn, Loss::Survived];

/// Returns every disk that a power loss during the next write may leave, and whether the write had returned by then.
fn after_each_power_loss(disk: &MemoryStorage, path: &Path, payload: &[u8]) -> Vec<(MemoryStorage, bool)> {
    let mut found = Vec::new();
    for steps in 0..=8 {
        let mut disk = disk.clone();
        let (mut file, _) = RecordFile::open(&disk, path).expect("a disk in memory can be read");
        disk.operations_left = Some(steps);
        let done = file.write(&mut disk, payload).is_ok();
        for names in 0..=disk.pending() {
            for loss in LOSSES {
                found.push((disk.lose_power(names, loss), done));
            }
        }
        if done {
            break;
        }
    }
    found
}

fn payload(found: &FileContents) -> Option<&[u8]> {
    match found {
        FileContents::Intact(record) => Some(&record.payload),
        _ => None,
    }
}

#[test]
fn power_loss_at_any_step_leaves_the_old_or_the_new_version() {
    let path = Path::new("folder/kept");
    let mut seen = 0;
    // Three writes in a row: each starts from disks that a power loss during the previous write may have left.
    let mut disks = vec![(MemoryStorage::default(), None::<Vec<u8>>)];
    for written in [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()] {
        let mut next = Vec::new();
        for (disk, previous) in &disks {
            for (left, done) in after_each_power_loss(disk, path, &written) {
                seen += 1;
                let (_, found) = RecordFile::open(&left, path).expect("readable");
                let now = payload(&found).map(<[u8]>::to_vec);
                let is_complete = now == Some(written.clone()) || !done && now == *previous;
                assert!(
                    is_complete,
                    "previous {previous:?}, wrote {written:?}, done {done}, found {found:?}"
                );
                if !next.iter().any(|(_, n): &(MemoryStorage, Option<Vec<u8>>)| *n == now) || next.len() < 12
                {
                    next.push((left, now));
                }
            }
        }
        disks = next;
    }
    assert!(seen > 100, "{seen} disks were checked");
}

#[test]
fn previous_version_is_read_if_the_newest_is_damaged() {
    let path = Path::new("kept");
    let mut disk = MemoryStorage::default();
    let (mut file, found) = RecordFile::open(&disk, path).expect("readable");
    assert_eq!(found, FileContents::Absent);
    file.write(&mut disk, b"one").expect("the disk has space");
    file.write(&mut disk, b"two").expect("the disk has space");
    let mut bytes = disk.read(path).expect("readable").expect("the file exists");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    disk.put(path, &bytes);
    let (mut file, found) = RecordFile::open(&disk, path).expect("readable");
    assert!(matches!(&found, FileContents::Older { record, .. } if record.payload == b"one"), "{found:?}");
    // The next write does not replace the intact previous version by the damaged file.
    file.write(&mut disk, b"three").expect("the disk has space");
    disk.put(path, b"");
    let (_, found) = RecordFile::open(&disk, path).expect("readable");
    assert!(matches!(&found, FileContents::Older { record, .. } if record.payload == b"one"), "{found:?}");
}

#[test]
fn full_or_read_only_disk_leaves_the_last_version() {
    let path = Path::new("kept");
    let mut disk = MemoryStorage::default();
    let (mut file, _) = RecordFile::open(&disk, path).expect("readable");
    file.write(&mut disk, b"one").expect("the disk has space");
    disk.capacity = Some(8);
    assert!(file.write(&mut disk, b"a longer one").is_err());
    (disk.capacity, disk.read_only) = (None, true);
    assert!(file.write(&mut disk, b"two").is_err());
    disk.read_only = false;
    let (_, found) = RecordFile::open(&disk, path).expect("readable");
    assert_eq!(payload(&found), Some(&b"one"[..]));
    assert_eq!(
        file.write(&mut disk, b"two").expect("the disk is writable again"),
        2,
        "a failed write uses up no version"
    );
}
