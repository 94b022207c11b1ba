//! Validation of settings files. The error for an invalid file names the file, section, key, value
//! and the accepted values.

use oriole_daemon::settings::{ENTRY, MAINTAIN, Override, Settings};

const VALID: &str = "[entry]\nname = e1\nzone = za\nlisten = 127.0.0.1:1\n[platform]\nlog = 127.0.0.1:2\nlist = 127.0.0.1:3\n";

#[test]
fn defaults_apply_to_keys_that_the_file_does_not_set() {
    let settings = Settings::parse("e.ini", VALID, ENTRY).unwrap();
    assert_eq!(settings.number("bounds", "lease_ms"), 6_000);
    assert_eq!(settings.text("entry", "zone"), "za");
}

#[test]
fn errors_name_the_file_section_key_and_accepted_values() {
    let cases = [
        (
            VALID.replace("zone = za\n", ""),
            "e.ini: [entry] zone: required, must be a name of letters, digits, '-', '_' and '.'",
        ),
        (
            VALID.replace("127.0.0.1:2", "localhost"),
            "e.ini: [platform] log = \"localhost\": must be an IP address and port, such as 127.0.0.1:7001",
        ),
        (
            format!("{VALID}[bounds]\nlease_ms = 5\n"),
            "e.ini: [bounds] lease_ms = \"5\": must be a whole number from 2000 to 600000",
        ),
        (
            format!("{VALID}[limits]\nbody = 5\n"),
            "e.ini: [limits] body: unknown setting; known here: body_bytes, connections",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(Settings::parse("e.ini", &text, ENTRY).unwrap_err().to_string(), expected);
    }
}

#[test]
fn the_example_files_are_valid() {
    for (text, specs) in [
        (include_str!("../../examples/entry-za-e1.ini"), ENTRY),
        (include_str!("../../examples/entry-za-e2.ini"), ENTRY),
        (include_str!("../../examples/maintain-za.ini"), MAINTAIN),
        (include_str!("../../examples/client.ini"), oriole_daemon::settings::CLIENT),
    ] {
        assert!(Settings::parse("example", text, specs).is_ok());
    }
}

#[test]
fn settings_of_the_command_line_replace_those_of_the_file() {
    let path = std::env::temp_dir().join(format!("overrides-{}.ini", std::process::id()));
    std::fs::write(&path, VALID).unwrap();
    let load = |overrides: &[&str]| {
        let overrides: Vec<Override> = overrides.iter().map(|it| it.parse().unwrap()).collect();
        Settings::load_with(&path, &overrides, ENTRY)
    };
    let settings = load(&["bounds.lease_ms=7000", "entry.zone=zb", "entry.name="]).unwrap();
    assert_eq!(settings.number("bounds", "lease_ms"), 7_000);
    assert_eq!(settings.text("entry", "zone"), "zb");
    assert_eq!(settings.text("entry", "name"), "e1");
    let refused = load(&["bounds.lease_ms=5"]).unwrap_err().to_string();
    assert!(refused.contains("[bounds] lease_ms = \"5\": must be"), "{refused}");
    assert!(load(&["bounds.lease=5"]).is_err(), "it is not known");
    assert!("bounds".parse::<Override>().is_err());
    std::fs::remove_file(&path).unwrap();
}
