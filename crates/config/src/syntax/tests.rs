//! Unit tests of `syntax`.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in "[ ()\"\\\\;a-z0-9\n\u{e9}]{0,80}") {
        let _ = parse(&text);
    }
}

#[test]
fn nodes_have_their_spans() {
    let Syntax { nodes, errors } = parse("; head\n(a \"b\\\"c\" (d))");
    assert!(errors.is_empty());
    let Node::List { items, span } = &nodes[0] else { panic!("the first node must be a list") };
    assert_eq!(*span, Span { from: 7, to: 21 });
    assert_eq!(items[1], Node::Atom { text: "b\"c".to_owned(), span: Span { from: 10, to: 16 } });
}

#[test]
fn all_errors_are_reported_with_their_positions() {
    let Syntax { errors, .. } = parse("(a))\n(b \"open\n(c");
    let positions: Vec<usize> = errors.iter().map(|error| error.span.from).collect();
    assert_eq!(positions, vec![3, 8, 14, 5], "an unmatched ), an unterminated string, two unclosed lists");
}

#[test]
fn strings_may_span_lines_and_unusual_whitespace_is_an_error() {
    let Syntax { nodes, errors } = parse("\"a\nb\"");
    assert!(errors.is_empty(), "{errors:?}");
    assert_eq!(nodes, [Node::Atom { text: "a\nb".to_owned(), span: Span { from: 0, to: 5 } }]);
    let Syntax { nodes, errors } = parse("a\u{a0}b\nc");
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].span, Span { from: 1, to: 4 });
    assert!(errors[0].message.contains("whitespace other than space, tab and line break"), "{errors:?}");
    assert_eq!(nodes.len(), 2, "the rest of the line is skipped: {nodes:?}");
}

#[test]
fn deep_nesting_is_rejected() {
    let Syntax { errors, .. } = parse(&"(".repeat(100_000));
    assert!(errors[0].message.contains("deeper"));
}
