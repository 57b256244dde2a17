//! Simulated power loss at every operation of a write, with every combination of unsynced changes that may survive.

use std::path::Path;

use nettleferry_durable::{FileContents, Loss, MemoryStorage, RecordFile, Storage};

const LOSSES: [Loss; 3] = [Loss::Lost, Loss::Torn, Loss::Survived];

/// Returns every disk that a power loss during the next write may leave, and whether the write had returned by then.
fn after_each_power_loss(disk: &MemoryStorage, path: &Path, payload: &[u8]) -> Vec<(MemoryStorage, bool)> {
    let mut outcomes = Vec::new();
    for operations in 0..=8 {
        let mut disk = disk.clone();
        let (mut file, _) = RecordFile::open(&disk, path).expect("a disk in memory can be read");
        disk.operations_left = Some(operations);
        let returned = file.write(&mut disk, payload).is_ok();
        for surviving in 0..=disk.pending() {
            for loss in LOSSES {
                outcomes.push((disk.lose_power(surviving, loss), returned));
            }
        }
        if returned {
            break;
        }
    }
    outcomes
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
    let mut disks_checked = 0;
    // Three writes in a row: each starts from disks that a power loss during the previous write may have left.
    let mut disks = vec![(MemoryStorage::default(), None::<Vec<u8>>)];
    for written in [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()] {
        let mut next = Vec::new();
        for (disk, previous) in &disks {
            for (disk_after, returned) in after_each_power_loss(disk, path, &written) {
                disks_checked += 1;
                let (_, found) = RecordFile::open(&disk_after, path).expect("a disk in memory can be read");
                let now = payload(&found).map(<[u8]>::to_vec);
                let is_complete = now == Some(written.clone()) || !returned && now == *previous;
                assert!(
                    is_complete,
                    "previous {previous:?}, wrote {written:?}, write returned: {returned}, found {found:?}"
                );
                if !next.iter().any(|(_, n): &(MemoryStorage, Option<Vec<u8>>)| *n == now) || next.len() < 12
                {
                    next.push((disk_after, now));
                }
            }
        }
        disks = next;
    }
    assert!(disks_checked > 100, "{disks_checked} disks were checked");
}

#[test]
fn previous_version_is_read_if_the_newest_is_damaged() {
    let path = Path::new("kept");
    let mut disk = MemoryStorage::default();
    let (mut file, found) = RecordFile::open(&disk, path).expect("a disk in memory can be read");
    assert_eq!(found, FileContents::Absent);
    file.write(&mut disk, b"one").expect("the disk has space");
    file.write(&mut disk, b"two").expect("the disk has space");
    let mut bytes = disk.read(path).expect("a disk in memory can be read").expect("the file exists");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    disk.put(path, &bytes);
    let (mut file, found) = RecordFile::open(&disk, path).expect("a disk in memory can be read");
    assert!(matches!(&found, FileContents::Older { record, .. } if record.payload == b"one"), "{found:?}");
    // The next write does not replace the intact previous version by the damaged file.
    file.write(&mut disk, b"three").expect("the disk has space");
    disk.put(path, b"");
    let (_, found) = RecordFile::open(&disk, path).expect("a disk in memory can be read");
    assert!(matches!(&found, FileContents::Older { record, .. } if record.payload == b"one"), "{found:?}");
}

#[test]
fn full_or_read_only_disk_leaves_the_last_version() {
    let path = Path::new("kept");
    let mut disk = MemoryStorage::default();
    let (mut file, _) = RecordFile::open(&disk, path).expect("a disk in memory can be read");
    file.write(&mut disk, b"one").expect("the disk has space");
    disk.capacity = Some(8);
    assert!(file.write(&mut disk, b"a longer one").is_err());
    (disk.capacity, disk.read_only) = (None, true);
    assert!(file.write(&mut disk, b"two").is_err());
    disk.read_only = false;
    let (_, found) = RecordFile::open(&disk, path).expect("a disk in memory can be read");
    assert_eq!(payload(&found), Some(&b"one"[..]));
    assert_eq!(
        file.write(&mut disk, b"two").expect("the disk is writable again"),
        2,
        "a failed write uses up no version"
    );
}
