//! Unit tests of `names`.

use super::*;

fn model(name: &str) -> Model {
    Model { name: name.into(), version: "".into() }
}

#[test]
fn controllers_assign_equal_numbers() {
    let (mut one, mut two) = (Names::default(), Names::default());
    two.open(model("other"), 9);
    two.worker("w0");
    assert_eq!(one.open(model("echo"), 9), two.open(model("echo"), 9));
    assert_eq!(one.worker("w1"), two.worker("w1"));
    let versioned = Model { name: "echo".into(), version: "2".into() };
    assert_ne!(one.open(versioned, 9), one.open(model("echo"), 9));
}

#[test]
fn least_recently_used_model_is_forgotten_and_one_in_use_never() {
    let mut names = Names::default();
    let a = names.open(model("a"), 2).expect("below the limit");
    let b = names.open(model("b"), 2).expect("below the limit");
    assert_eq!(names.open(model("c"), 2), None, "both are in use");
    names.close(b);
    assert!(names.open(model("c"), 2).is_some());
    assert_eq!((names.model(b), names.forgotten), (None, 1));
    assert!(names.model(a).is_some());
}
