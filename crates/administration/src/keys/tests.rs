//! Unit tests of `keys`.

use super::*;

#[test]
fn verified_keys_are_remembered_and_wrong_ones_are_rate_limited() {
    let GeneratedKey { token, hash } = generate("ada").expect("hashes");
    let key = AdminKey { name: "ada".to_owned(), role: "operator".to_owned(), hash };
    let mut keys = KeyRing::new(&[key]);
    let header = format!("Bearer {token}");
    let caller = keys.authenticate(Some(&header)).expect("a known key");
    assert_eq!((caller.name.as_str(), caller.role), ("ada", Role::Operator));
    assert!(keys.authenticate(Some(&header)).is_ok());
    for wrong in [None, Some("Basic x"), Some("Bearer ada"), Some("Bearer eve.x")] {
        assert_eq!(keys.authenticate(wrong).expect_err("wrong").status, 401);
    }
    let wrong = format!("{header}x");
    let limited = (0..500).any(|_| keys.authenticate(Some(&wrong)).expect_err("wrong").status == 429);
    assert!(limited, "guessing is rate-limited");
    assert!(keys.authenticate(Some(&header)).is_ok(), "a verified key is not rate-limited");
}
