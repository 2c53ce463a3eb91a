//! Settings of the daemon: faults are named, and the documents match the code.

mod common;

use clap::CommandFactory;
use common::{ProgramRun, run_program};
use wisteriapin::configs::daemon::DaemonSettings;
use wisteriapin::result_code::ResultCode;
use wisteriapin::settings::{format_duration, parse_duration};

const SECRET: &str = "a-secret-of-the-test";

fn check(arguments: &[&str]) -> ProgramRun {
    let mut all = vec!["--check-settings"];
    all.extend(arguments);
    let environment = [("WISTERIAPIN_PEER_SECRET", SECRET)];
    run_program(env!("CARGO_BIN_EXE_wisteriapind"), &all, &environment)
}

/// Guards against a bad setting that is accepted, or refused without its flag and value.
#[test]
fn bad_settings_are_named() {
    let cases = [
        ("--name", "two words"),
        ("--zone", ""),
        ("--caller-address", "localhost"),
        ("--caller-address", "0.0.0.0:7100"),
        ("--operator-address", "127.0.0.1:0"),
        // TEST-NET-1, which no host has.
        ("--peer-address", "192.0.2.1:7300"),
        ("--operator-address", "127.0.0.1:7100"),
        ("--peer-address", "127.0.0.1:7400"),
        ("--host-list-address", "nowhere"),
        ("--peers", "127.0.0.1:1,x"),
        ("--statsd-address", "127.0.0.1:0"),
        ("--drain-limit", "29s"),
        ("--drain-limit", "25h"),
        ("--discovery-ttl", "30"),
        ("--discovery-ttl", "0s"),
        ("--max-connections", "0"),
        ("--max-header-bytes", "100"),
        ("--max-body-bytes", "1k"),
        ("--body-timeout", "99ms"),
        ("--max-requests", "-1"),
        ("--max-queued", "0"),
        ("--max-queued", "100001"),
        ("--memory-mb", "31"),
        ("--memory-mb", "8G"),
        ("--claim-window", "2h"),
        ("--seed", "x"),
        ("--log-level", "loud"),
    ];
    for (flag, value) in cases {
        let run = check(&[&format!("{flag}={value}")]);
        assert_eq!(run.code, 2, "{flag}={value}: {}", run.stderr);
        assert_eq!(run.stderr.lines().count(), 1, "{}", run.stderr);
        assert!(run.stderr.contains(flag), "{flag}={value}: {}", run.stderr);
        let shown = value.rsplit(',').next().unwrap();
        assert!(run.stderr.contains(shown), "{flag}={value}: {}", run.stderr);
    }
    assert_eq!(check(&[]).code, 0);
}

/// Guards against the secret in a message, in help or in debug output.
#[test]
fn secret_is_never_shown() {
    let program = env!("CARGO_BIN_EXE_wisteriapind");
    let short = run_program(program, &["--peer-secret", "short-secret"], &[]);
    assert_eq!(short.code, 2);
    assert!(short.stderr.contains("--peer-secret"), "{}", short.stderr);
    assert!(!short.stderr.contains("short-secret"), "{}", short.stderr);
    let help = check(&["--help"]);
    assert!(!help.stdout.contains(SECRET), "{}", help.stdout);
    let settings = DaemonSettings {
        peer_secret: SECRET.to_owned().into(),
        ..DaemonSettings::default()
    };
    assert!(!format!("{settings:?}").contains(SECRET));
}

/// Guards against a unit that is read differently from how it is written.
#[test]
fn durations_round_trip() {
    for text in ["1ms", "500ms", "30s", "90s", "15m", "1h", "0s"] {
        assert_eq!(format_duration(parse_duration(text).unwrap()), text);
    }
    for text in [
        "",
        "s",
        "1.5s",
        "1 s",
        "-1s",
        "99999999999999999999s",
        "18446744073709551615h",
    ] {
        assert!(parse_duration(text).is_err(), "{text}");
    }
}

fn rows(document: &str) -> Vec<Vec<&str>> {
    let lines = document.lines().filter(|line| line.starts_with("| "));
    lines
        .map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect())
        .collect()
}

/// Guards against a setting that is missing from the document, or another default there.
#[test]
fn every_setting_has_its_row() {
    let document = include_str!("../docs/settings.md");
    let documented = rows(document);
    let command = DaemonSettings::command();
    let mut count = 0;
    for argument in command.get_arguments() {
        let flag = format!("`--{}`", argument.get_long().unwrap());
        let row = documented.iter().find(|row| row[0] == flag);
        let row = row.unwrap_or_else(|| panic!("{flag} has no row"));
        assert_eq!(row.len(), 5, "{flag}");
        let variable = argument.get_env().map_or("none".to_owned(), |name| {
            format!("`{}`", name.to_str().unwrap())
        });
        assert_eq!(row[1], variable, "{flag}");
        let defaults = argument.get_default_values();
        match defaults.first().and_then(|value| value.to_str()) {
            None | Some("") => assert!(row[2].starts_with("none"), "{flag}"),
            // `LevelFilter` is written in capital letters and read in any.
            Some(value) => assert_eq!(row[2], format!("`{}`", value.to_lowercase()), "{flag}"),
        }
        count += 1;
    }
    let listed = documented.iter().filter(|row| row[0].starts_with("`--"));
    assert_eq!(listed.count(), count, "a row has no setting");
}

/// Guards against a code whose row is missing or says something else.
#[test]
fn every_result_code_has_its_row() {
    let document = include_str!("../docs/result-codes.md");
    let documented = rows(document);
    for code in ResultCode::ALL {
        let expected = [
            code.number().to_string(),
            code.name().to_owned(),
            code.ran().name().to_owned(),
            code.http_status().to_string(),
            code.message().to_owned(),
        ];
        let row = documented.iter().find(|row| row[0] == expected[0]);
        let row = row.unwrap_or_else(|| panic!("{} has no row", code.number()));
        assert_eq!(row[..5], expected);
        assert!(row.len() == 6 && !row[5].is_empty(), "{}", code.number());
    }
    // The head of the table is a row too.
    assert_eq!(documented.len(), ResultCode::ALL.len() + 1);
}
