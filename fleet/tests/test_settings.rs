//! Tests the settings file of `oriole-fleet`.

use std::time::Duration;

use oriole_fleet::settings::{ClientLimits, Settings};
use oriolewall::commit_size::CommitLimits;
use oriolewall::order::TokenForm;

const EXAMPLE: &str = include_str!("../../examples/fleet.ini");

#[test]
fn example_file_is_accepted() {
    let settings = Settings::parse("fleet.ini", EXAMPLE).unwrap();
    assert_eq!(settings.name, "entry-za-1");
    assert_eq!(settings.partitions, 16);
    assert_eq!(settings.commit_limits, CommitLimits::default());
    assert_eq!(settings.bounds.lease_max, Duration::from_secs(10));
    assert_eq!(settings.cpu_millis, 250);
    assert_eq!(settings.memory_bytes, 260 << 20);
    assert!(settings.machines_addr.is_some());
    assert!(settings.advice_addr.is_none());
}

#[test]
fn tokens_have_the_contact_form_unless_the_file_sets_the_other_one() {
    let form = |text: &str| Settings::parse("fleet.ini", &format!("{EXAMPLE}{text}")).map(|it| it.token_form);
    assert_eq!(form("").unwrap(), TokenForm::Contact);
    assert_eq!(form("\n[orders]\ntoken = contact\n").unwrap(), TokenForm::Contact);
    assert_eq!(form("\n[orders]\ntoken = epoch\n").unwrap(), TokenForm::Epoch);
    let err = form("\n[orders]\ntoken = plain\n").unwrap_err().to_string();
    assert!(err.starts_with("fleet.ini: [orders] token = \"plain\": must be one of"), "{err}");
}

#[test]
fn a_file_for_an_earlier_build_gets_the_usual_limits_of_the_log() {
    // An instance that does not start during an upgrade is missing until the file is replaced.
    let text = EXAMPLE.replace("record_bytes = 262144\ncall_bytes = 2097152\n", "");
    assert_ne!(text, EXAMPLE);
    let settings = Settings::parse("fleet.ini", &text).unwrap();
    assert_eq!(settings.commit_limits, CommitLimits::default());
}

#[test]
fn limits_on_clients_have_defaults_that_the_file_may_change() {
    let limits = |text: &str| Settings::parse("fleet.ini", &format!("{EXAMPLE}{text}")).map(|it| it.clients);
    assert_eq!(limits("").unwrap(), ClientLimits::default());
    let expected = ClientLimits {
        head_bytes: 8192,
        body_time: Duration::from_secs(20),
        ..ClientLimits::default()
    };
    assert_eq!(limits("\n[clients]\nhead_bytes = 8192\nbody_ms = 20000\n").unwrap(), expected);
    let err = limits("\n[clients]\nhead_bytes = 100\n").unwrap_err().to_string();
    let expected = "fleet.ini: [clients] head_bytes = \"100\": must be a whole number from 8192 to 65536";
    assert!(err.starts_with(expected), "{err}");
}

#[test]
fn error_names_file_setting_value_and_allowed_values() {
    let cases = [
        ("zone = za", "", "fleet.ini: [node] zone: required, must be a name"),
        (
            "parts = 16",
            "parts = none",
            "fleet.ini: [platform] parts = \"none\": must be a whole number from 1 to 1024",
        ),
        (
            "ready = 127.0.0.1:7802",
            "ready = here",
            "fleet.ini: [listen] ready = \"here\": must be an IP address and port",
        ),
        (
            "processor = 0.25",
            "processor = -1",
            "fleet.ini: [limits] processor = \"-1\": must be a number from 0.01 to 1024",
        ),
        (
            "descriptors = 4100",
            "descriptor = 4100",
            "fleet.ini: [limits] descriptor: unknown setting",
        ),
    ];
    for (from, to, expected) in cases {
        let text = EXAMPLE.replace(from, to);
        let err = Settings::parse("fleet.ini", &text).unwrap_err().to_string();
        assert!(err.starts_with(expected), "{err}");
    }
}
