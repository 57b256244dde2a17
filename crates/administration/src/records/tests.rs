//! Unit tests of `records`.

use super::*;

fn line(n: u64) -> String {
    format!(
        "{{\"n\":{n},\"life\":1,\"from\":0,\"to\":0,\"prev\":\"x\",\"what\":\"everywhere\",\"epoch\":1,\"revision\":{n}}}"
    )
}

#[test]
fn what_was_delivered_is_there_again_and_nothing_twice() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut records = Records::open(dir.path().to_owned());
    assert_eq!(records.take("1", (1..=5).map(line).collect()), 5);
    assert_eq!(records.take("1", (3..=7).map(line).collect()), 7, "the answer was lost, and it came again");
    assert_eq!(records.take("2", vec!["no line".to_owned(), line(1)]), 1);
    drop(records);
    let records = Records::open(dir.path().to_owned());
    let (page, next) = records.page("1", 0, 6).expect("there");
    assert_eq!((page.len(), next), (6, Some(6)));
    assert_eq!(records.page("1", 6, 6).expect("there"), (vec![line(7).as_str()], None));
    assert_eq!((records.last("2"), records.page("3", 0, 1)), (1, None));
}

#[test]
fn records_are_bounded() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut records = Records::open(dir.path().to_owned());
    records.spool = None;
    for n in 1..=MOST_LINES as u64 + 9 {
        records.take("1", vec![line(n)]);
    }
    assert_eq!(records.records["1"].lines.len(), MOST_LINES);
    for of in 0..MOST_RECORDS + 5 {
        records.take(&format!("c{of}"), vec![line(1)]);
    }
    assert_eq!(records.records.len(), MOST_RECORDS);
}
