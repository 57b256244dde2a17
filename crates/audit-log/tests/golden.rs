//! Guards the stored format: entries of each kind as earlier versions wrote them are parsed, and serialized to the same
//! bytes. The fields of a report keep their names, which API clients read.

use nettleferry_audit_log::Entry;
use nettleferry_audit_log::findings::{
    Actor, CallCount, Certainty, Fork, Gap, Incarnation, LateCalls, Report, StaleActivity,
};

const ENTRIES: [&str; 15] = [
    r#"{"n":1,"life":7,"from":0,"to":0,"prev":"00000000000000000000000000000000","what":"began","controller":3,"program":"0.1.0"}"#,
    r#"{"n":2,"life":7,"from":5,"to":5,"prev":"a","what":"view","view":1,"parts":{"store":"s","epoch":1,"revision":4,"list":2,"settings":99,"program":"0.1.0"}}"#,
    r#"{"n":3,"life":7,"from":5,"to":9,"prev":"b","what":"did","view":1,"stage":"current","calls":{"kalahari":3},"attempts":{"w1":2},"orders":{"w2":1},"refused":4}"#,
    r#"{"n":4,"life":7,"from":5,"to":9,"prev":"c","what":"did","view":1,"stage":"goes-on"}"#,
    r#"{"n":5,"life":7,"from":9,"to":9,"prev":"d","what":"one","view":1,"act":{"act":"tenant","tenant":"morava","state":"suspended"}}"#,
    r#"{"n":6,"life":7,"from":9,"to":9,"prev":"e","what":"one","view":1,"act":{"act":"drained","worker":"w1","drained":true}}"#,
    r#"{"n":7,"life":7,"from":9,"to":9,"prev":"f","what":"one","view":1,"act":{"act":"stage","stage":"refuses"}}"#,
    r#"{"n":8,"life":7,"from":9,"to":9,"prev":"0","what":"one","view":1,"act":{"act":"doubtful","stood_ms":12}}"#,
    r#"{"n":9,"life":7,"from":9,"to":9,"prev":"1","what":"one","view":1,"act":{"act":"fenced"}}"#,
    r#"{"n":10,"life":7,"from":9,"to":11,"prev":"2","what":"heard","by":77,"at":1000}"#,
    r#"{"n":11,"life":7,"from":9,"to":9,"prev":"3","what":"gap","lines":5,"why":"no room"}"#,
    r#"{"n":12,"life":7,"from":9,"to":9,"prev":"4","what":"accepted","epoch":1,"revision":5,"tenant":"morava","action":"suspend","binds":true}"#,
    r#"{"n":13,"life":7,"from":9,"to":9,"prev":"5","what":"everywhere","epoch":1,"revision":5}"#,
    r#"{"n":14,"life":7,"from":9,"to":9,"prev":"6","what":"one","view":1,"act":{"act":"tenant","tenant":"morava","state":"gone"}}"#,
    r#"{"n":15,"life":7,"from":9,"to":9,"prev":"7","what":"did","view":2,"stage":"doubtful","calls":{"morava":1}}"#,
];

#[test]
fn entries_of_earlier_versions_round_trip_unchanged() {
    for text in ENTRIES {
        let entry = Entry::from_json(text).unwrap_or_else(|error| panic!("{error}: {text}"));
        assert_eq!(entry.to_json(), text);
    }
}

#[test]
fn reports_keep_their_fields() {
    let incarnation = Incarnation { controller: 2, incarnation: 9 };
    let other = Incarnation { controller: 1, incarnation: 8 };
    let report = Report {
        actors: vec![Actor { incarnation, version: (1, 4).into(), from: Some(-3), to: None, calls: 7 }],
        stale_activity: vec![StaleActivity {
            incarnation,
            version: (1, 4).into(),
            newer: (1, 5).into(),
            newer_incarnation: other,
            certainty: Certainty::Certain,
            least_ms: 10,
            most_ms: 30,
            calls: [("morava".to_owned(), CallCount { certain: 1, possible: 2 })].into(),
            reason: "w".to_owned(),
        }],
        late_calls: vec![LateCalls {
            incarnation,
            tenant: "morava".to_owned(),
            change: (1, 5).into(),
            action: "suspend".to_owned(),
            certainty: Certainty::Doubtful,
            calls: CallCount { certain: 0, possible: 2 },
            reason: "w".to_owned(),
        }],
        forks: vec![Fork { epochs: vec![1, 2], sides: vec![other, incarnation] }],
        gaps: vec![
            Gap { incarnation: None, reason: "a".to_owned() },
            Gap { incarnation: Some(incarnation), reason: "b".to_owned() },
        ],
        omitted: 6,
    };
    let two = r#"{"controller":2,"life":9}"#;
    let one = r#"{"controller":1,"life":8}"#;
    let expected = format!(
        concat!(
            r#"{{"actors":[{{"who":{two},"book":[1,4],"from":-3,"to":null,"calls":7}}],"#,
            r#""behind":[{{"who":{two},"book":[1,4],"newer":[1,5],"elsewhere":{one},"sure":"certain","#,
            r#""least_ms":10,"most_ms":30,"calls":{{"morava":[1,2]}},"why":"w"}}],"#,
            r#""after":[{{"who":{two},"tenant":"morava","change":[1,5],"action":"suspend","sure":"doubtful","#,
            r#""calls":[0,2],"why":"w"}}],"#,
            r#""forks":[{{"epochs":[1,2],"sides":[{one},{two}]}}],"#,
            r#""gaps":[{{"who":null,"what":"a"}},{{"who":{two},"what":"b"}}],"more":6}}"#
        ),
        one = one,
        two = two
    );
    assert_eq!(serde_json::to_string(&report).expect("JSON"), expected);
}
