//! Unit tests of `store`.

use super::*;

#[test]
fn concurrent_fetches_are_slower_and_limited() {
    let mut store = Store::new(2, 3);
    assert_eq!((store.begin(100), store.begin(100)), (Some(100), Some(100)));
    assert_eq!(store.begin(100), Some(150));
    assert_eq!(store.begin(100), None);
    store.end();
    store.slowness = 4.0;
    assert_eq!(store.begin(100), Some(600));
    assert_eq!((store.begun, store.refused), (4, 1));
}
