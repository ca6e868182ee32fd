//! Tests of the precedence of environment variables and the file, and of the errors in configurations.

use super::*;

const SETTINGS: &str = r#"{"classes":[{"name":"a","aimMs":100,"deadlineMs":200,"effect":"idempotent"}]}"#;

/// Loads a configuration from the text of a file, with `PROXY_LISTEN` set to `listen_address`.
fn load(text: &str, listen_address: &str) -> Result<Config, ConfigError> {
    let file = serde_json::from_str(text).expect("a configuration file");
    Config::from_file(file, |name| (name == "PROXY_LISTEN").then(|| listen_address.to_owned()))
}

fn load_error(text: &str, listen_address: &str) -> String {
    load(text, listen_address).expect_err("the configuration is invalid").to_string()
}

#[test]
fn variables_override_the_file_and_unknown_keys_are_ignored() {
    let text = format!(
        r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","novel":[],"settings":{SETTINGS}}}"#
    );

    let config = load(&text, "127.0.0.1:3").expect("a configuration");

    assert_eq!(config.listen_address.port(), 3);
    assert_eq!(config.discovery_address.port(), 2);
    assert_eq!(config.seed, 255);
    assert_eq!(config.host_settings.class_names, ["a"]);
}

#[test]
fn errors_name_the_value_that_is_missing_or_invalid() {
    let no_class = r#"{"discovery":"127.0.0.1:2","settings":{"classes":[]}}"#;
    let complete = format!(r#"{{"discovery":"127.0.0.1:2","settings":{SETTINGS}}}"#);
    let no_discovery = format!(r#"{{"settings":{SETTINGS}}}"#);
    let no_list = format!(r#"{{"discovery":"127.0.0.1:2","known":7,"settings":{SETTINGS}}}"#);

    assert!(load_error(no_class, "127.0.0.1:3").contains("class"));
    assert!(load_error(&complete, "nowhere").contains("PROXY_LISTEN"));
    assert!(load_error(&no_discovery, "127.0.0.1:3").contains("PROXY_DISCOVERY"));
    assert!(load_error(&no_list, "127.0.0.1:3").contains("known"));
}
