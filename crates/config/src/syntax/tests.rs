//! Unit tests of `syntax`.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn noise_never_panics(noise in "[ ()\"\\\\;a-z0-9\n\u{e9}]{0,80}") {
        let _ = read(&noise);
    }
}

#[test]
fn values_and_places() {
    let (nodes, errors) = read("; head\n(a \"b\\\"c\" (d))");
    assert!(errors.is_empty());
    let Node::List { items, span } = &nodes[0] else { panic!("a list") };
    assert_eq!(*span, Span { from: 7, to: 21 });
    assert_eq!(items[1], Node::Atom { text: "b\"c".to_owned(), span: Span { from: 10, to: 16 } });
}

#[test]
fn all_broken_places_are_told() {
    let (_, errors) = read("(a))\n(b \"open\n(c");
    let places: Vec<usize> = errors.iter().map(|(span, _)| span.from).collect();
    assert_eq!(places, vec![3, 8, 14, 5], "a stray ), a string without end, two lists never closed");
}

#[test]
fn a_tower_of_lists_is_refused() {
    let (_, errors) = read(&"(".repeat(100_000));
    assert!(errors[0].1.contains("deeper"));
}
