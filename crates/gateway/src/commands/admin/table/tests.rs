//! Unit tests of `table`.

use super::*;
use serde_json::json;

#[test]
fn difference_names_the_path_of_each_value() {
    let before = json!({"name": "a", "limits": {"open_calls": 5, "burst": 2}});
    let after = json!({"name": "a", "limits": {"open_calls": 9}, "note": "n"});
    let lines = difference(&before, &after);
    assert_eq!(lines, "- limits.burst: 2\n- limits.open_calls: 5\n+ limits.open_calls: 9\n+ note: n");
    assert_eq!(difference(&before, &before), "");
}
