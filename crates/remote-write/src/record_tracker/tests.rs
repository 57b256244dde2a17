//! Tests that records are returned once the last of their samples has left the queue.

use super::*;

#[test]
fn record_is_complete_with_its_last_sample() {
    let mut tracker = RecordTracker::default();
    tracker.add(1000, 'a', 2);
    tracker.add(2000, 'b', 1);
    tracker.add(1000, 'c', 1);
    assert!(tracker.complete_sample(1000).is_empty() && tracker.complete_sample(1000).is_empty());
    assert_eq!(tracker.complete_sample(2000), ['b']);
    assert_eq!(tracker.complete_sample(1000), ['a', 'c']);
    assert_eq!((tracker.complete_sample(1000).len(), tracker.open_rounds()), (0, 0));
}
