//! Unit tests of `record_tracker`.

use super::*;

#[test]
fn a_record_is_done_with_its_last_sample() {
    let mut tracker = RecordTracker::default();
    tracker.began(1000, 'a', 2);
    tracker.began(2000, 'b', 1);
    tracker.began(1000, 'c', 1);
    assert!(tracker.gone(1000).is_empty() && tracker.gone(1000).is_empty());
    assert_eq!(tracker.gone(2000), ['b']);
    assert_eq!(tracker.gone(1000), ['a', 'c']);
    assert_eq!((tracker.gone(1000).len(), tracker.rounds()), (0, 0));
}
