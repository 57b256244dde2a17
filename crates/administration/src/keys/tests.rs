//! Unit tests of `keys`.

use super::*;

#[test]
fn a_key_is_proven_once_and_wrong_ones_are_rationed() {
    let (token, hash) = make("ada").expect("hashes");
    let key = AdminKey { name: "ada".to_owned(), role: "operator".to_owned(), hash };
    let mut keys = Keys::new(&[key]);
    let header = format!("Bearer {token}");
    let caller = keys.prove(Some(&header)).expect("its key");
    assert_eq!((caller.name.as_str(), caller.role), ("ada", Role::Operator));
    assert!(keys.prove(Some(&header)).is_ok());
    for wrong in [None, Some("Basic x"), Some("Bearer ada"), Some("Bearer eve.x")] {
        assert_eq!(keys.prove(wrong).expect_err("wrong").status, 401);
    }
    let wrong = format!("{header}x");
    let rationed = (0..500).any(|_| keys.prove(Some(&wrong)).expect_err("wrong").status == 429);
    assert!(rationed, "a guesser is held up");
    assert!(keys.prove(Some(&header)).is_ok(), "a key that was proven is not held up by it");
}
