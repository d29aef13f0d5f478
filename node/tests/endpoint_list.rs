//! The endpoint list as it is read from configurations and discovery.

use molevale::endpoint_list::EndpointList;

/// Operators read this text where the list in a configuration is wrong; it was recorded before the types had these names.
#[test]
fn errors_name_the_parts_of_the_list_as_ever() {
    let error = |text: &str| serde_json::from_str::<EndpointList>(text).unwrap_err().to_string();
    assert_eq!(error("1"), "invalid type: integer `1`, expected struct ListBody at line 1 column 1");
    let list = |member: &str| format!(r#"{{"revision":1,"complete":true,"members":[{member}]}}"#);
    assert!(error(&list("1")).starts_with("invalid type: integer `1`, expected struct Member at "));
    assert!(error(&list("{}")).starts_with("missing field `id` at "));
    assert!(error(&list(r#"{"id":"a"}"#)).starts_with("missing field `host_port` at "));
}
