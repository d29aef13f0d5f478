//! Parsing of the endpoint list in configurations and discovery's answers.

use molevale::endpoint_list::EndpointList;

/// Operators see this text when the list in a configuration is malformed. It was recorded before the types
/// had their current names, and must not follow a renamed type.
#[test]
fn parse_errors_keep_the_published_names_of_types_and_fields() {
    let error = |text: &str| serde_json::from_str::<EndpointList>(text).unwrap_err().to_string();
    assert_eq!(error("1"), "invalid type: integer `1`, expected struct ListBody at line 1 column 1");
    let list = |member: &str| format!(r#"{{"revision":1,"complete":true,"members":[{member}]}}"#);
    assert!(error(&list("1")).starts_with("invalid type: integer `1`, expected struct Member at "));
    assert!(error(&list("{}")).starts_with("missing field `id` at "));
    assert!(error(&list(r#"{"id":"a"}"#)).starts_with("missing field `host_port` at "));
}
