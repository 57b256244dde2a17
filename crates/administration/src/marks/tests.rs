//! Unit tests of `marks`.

use super::*;

#[test]
fn what_was_told_is_in_force_when_its_mark_is_back() {
    let at = |revision| Version { epoch: 1, revision };
    let mut marks = Marks::new(at(3));
    let applied = marks.applied();
    let (four, nine) = (marks.told(at(4)), marks.told(at(9)));
    assert_eq!(marks.in_force(), at(3));
    applied.store(four, Ordering::Release);
    assert_eq!(marks.in_force(), at(4));
    applied.store(nine, Ordering::Release);
    assert_eq!((marks.in_force(), marks.out.len()), (at(9), 0));
    // A calls' thread that stands still for long costs no memory without end.
    for revision in 10..5_000 {
        marks.told(at(revision));
    }
    assert_eq!((marks.in_force(), marks.out.len()), (at(9), MOST_OUT));
    applied.store(marks.next, Ordering::Release);
    assert_eq!(marks.in_force(), at(4_999));
}
