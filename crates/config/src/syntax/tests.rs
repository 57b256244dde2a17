//! Unit tests of `syntax`.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn noise_never_panics(noise in "[ ()\"\\\\;a-z0-9\n\u{e9}]{0,80}") {
        let _ = parse(&noise);
    }
}

#[test]
fn values_have_their_places() {
    let Syntax { nodes, errors } = parse("; head\n(a \"b\\\"c\" (d))");
    assert!(errors.is_empty());
    let Node::List { items, span } = &nodes[0] else { panic!("a list") };
    assert_eq!(*span, Span { from: 7, to: 21 });
    assert_eq!(items[1], Node::Atom { text: "b\"c".to_owned(), span: Span { from: 10, to: 16 } });
}

#[test]
fn all_broken_places_are_reported() {
    let Syntax { errors, .. } = parse("(a))\n(b \"open\n(c");
    let places: Vec<usize> = errors.iter().map(|error| error.span.from).collect();
    assert_eq!(places, vec![3, 8, 14, 5], "a stray ), a string without end, two lists never closed");
}

#[test]
fn deep_nesting_is_rejected() {
    let Syntax { errors, .. } = parse(&"(".repeat(100_000));
    assert!(errors[0].message.contains("deeper"));
}
