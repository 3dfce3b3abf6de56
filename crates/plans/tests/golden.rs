//! The JSON form of plan book entries must not change, because entries are stored and exchanged as JSON.

use plans::book::Entry;

const ENTRIES: [&str; 5] = [
    r#"{"version":1,"taken":5,"change":{"id":"c-1","at":7,"after":null,"by":"ana","why":"more","what":{"figures":{"plan":"taller","figures":{"rate":2.5,"burst":10.0}}}}}"#,
    r#"{"version":2,"taken":5,"change":{"id":"c-2","at":7,"after":1,"by":"ana","why":"more","what":{"move":{"account":"0000000000000009","plan":"taller"}}}}"#,
    r#"{"version":3,"taken":5,"change":{"id":"c-3","at":7,"after":null,"by":"ana","why":"less","what":{"move":{"account":"0000000000000009","plan":null}}}}"#,
    r#"{"version":4,"taken":5,"change":{"id":"c-4","at":7,"after":null,"by":"ana","why":"fair","what":{"reserve":{"account":"0000000000000009","units":3.0,"until":99,"class":"sign-off","prefix":"k-"}}}}"#,
    r#"{"version":5,"taken":5,"change":{"id":"c-5","at":7,"after":null,"by":"ana","why":"over","what":{"cancel":{"reservation":"c-4"}}}}"#,
];

#[test]
fn entries_of_each_kind_keep_their_json_form() {
    for text in ENTRIES {
        let entry: Entry = serde_json::from_str(text).unwrap();
        assert_eq!(serde_json::to_string(&entry).unwrap(), text);
    }
}
