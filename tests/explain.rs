//! `wisteriapin explain`: the story of one request from the logs of several hosts.

mod common;

use std::path::Path;

use common::{ProgramRun, run_program};
use wisteriapin::explain::{HostLog, explain_request, story_text};

/// Host 1 refuses two requests, and a third when it had lost an endpoint.
const HOST_1: &str = "\
[2026-12-04T07:00:00.000Z INFO ] edge: started host=10.0.0.1 zone=krk-a
[2026-12-04T07:00:01.100Z WARN ] store: lost config_version=7 cause=silent
[2026-12-04T07:00:06.000Z INFO ] endpoint: gone endpoint=e-2
[2026-12-04T07:00:06.500Z INFO ] endpoint: gone endpoint=e-9
[2026-12-04T07:00:07.000Z INFO ] request: refused id=a1 code=2303 status=503 reason=queue_wait retry_ms=1500 took_ms=2 config_version=7
[2026-12-04T07:00:07.100Z INFO ] request: refused id=a2 code=2303 status=503 reason=queue_wait retry_ms=1500 took_ms=2 config_version=7
[2026-12-04T07:00:07.200Z INFO ] request: refused id=a3 code=2302 status=429 reason=over_cap retry_ms=1000 took_ms=1 config_version=7
cut in the middle of a li
[2026-12-04T07:00:20.000Z INFO ] hosts: view changed hosts=3 silent=1
";

/// Host 2 breaks a stream of `b1`, goes on elsewhere, and serves `b12`.
const HOST_2: &str = "\
[2026-12-04T07:00:02.000Z INFO ] config: in force before=6 version=7
[2026-12-04T07:00:03.000Z INFO ] request: not answered id=b1 endpoint=e-2 cause=retry_broken dispatches=1 runs=1
[2026-12-04T07:00:03.200Z INFO ] request: ended id=b12 route=chat status=200 outcome=answered endpoints=e-3 runs=1 dispatches=1 waited_ms=4 first_byte_ms=80 took_ms=200 config_version=7
[2026-12-04T07:00:03.500Z INFO ] request: ended id=b1 route=order status=502 outcome=endpoint_broken endpoints=e-2 runs=1 dispatches=1 waited_ms=20 first_byte_ms=0 took_ms=700 config_version=7
[2026-12-04T07:00:03.500Z INFO ] request: refused id=b1 code=2502 status=502 reason=endpoint_broken retry_ms=0 took_ms=700 config_version=7
[2026-12-04T07:00:04.000Z INFO ] endpoint: seen endpoint=e-2 cold_ms=900
";

fn logs() -> [HostLog<'static>; 2] {
    [("host-1", HOST_1), ("host-2", HOST_2)].map(|(host, text)| HostLog { host, text })
}

fn story(id: &str) -> String {
    story_text(&explain_request(id, &logs()).expect("a log names the request"))
}

/// Guards against a story that mixes requests up, leaves out what happened to the endpoint or the
/// host, or says that an order was not run when it may have been.
#[test]
fn a_story_has_its_own_lines_and_those_around() {
    insta::assert_snapshot!("order_that_broke", story("b1"));
    insta::assert_snapshot!("refused_early", story("a2"));
}

/// Guards against ids that are found inside others, and against an empty story for an unknown one.
#[test]
fn an_id_is_matched_whole() {
    assert!(explain_request("b", &logs()).is_none());
    let story = explain_request("b12", &logs()).unwrap();
    assert_eq!(story.lines.iter().filter(|line| line.own).count(), 1);
}

/// Guards against a refusal whose cause, what endpoints said of themselves, is left out or outdated.
#[test]
fn a_refusal_names_the_endpoints_that_restricted_the_host() {
    let text = "\
[2026-12-04T07:00:01.000Z INFO ] endpoint: rate limit changed endpoint=e-1 before=- limit_per_s=2 source=peer
[2026-12-04T07:00:01.100Z INFO ] endpoint: rate limit changed endpoint=e-2 before=- limit_per_s=3 source=answer
[2026-12-04T07:00:01.200Z INFO ] endpoint: paused endpoint=e-3 pause_ms=9000
[2026-12-04T07:00:01.300Z INFO ] endpoint: paused endpoint=e-4 pause_ms=500
[2026-12-04T07:00:01.400Z INFO ] endpoint: leaving endpoint=e-5 source=peer
[2026-12-04T07:00:05.000Z INFO ] endpoint: rate limit changed endpoint=e-2 before=3 limit_per_s=- source=peer
[2026-12-04T07:00:07.000Z INFO ] request: refused id=d1 code=2309 status=503 reason=endpoints_restricted retry_ms=900 took_ms=0 config_version=7
";
    let logs = [HostLog { host: "h", text }];
    let story = explain_request("d1", &logs).unwrap();
    assert_eq!(
        story.verdict.last().unwrap(),
        "Endpoints that restricted its host: e-1 limits all hosts to 2 requests/s, e-3 wants no request for 9 s, e-5 is leaving."
    );
}

/// Guards against collected logs, with a host's name and a time of their own before each line,
/// that are read as one host's.
#[test]
fn collected_logs_name_their_hosts() {
    let text = "  3.2000 edge-b [2026-12-04T07:00:09.000Z INFO ] request: refused id=c1 code=2306 status=503 reason=stopping retry_ms=0 took_ms=0 config_version=1\n  3.1000 edge-a [2026-12-04T07:00:09.000Z INFO ] config: in force before=0 version=1\n  3.0000 edge-b [2026-12-04T07:00:09.000Z INFO ] edge: stopping in_flight=3\n";
    let logs = [HostLog { host: "all", text }];
    let story = explain_request("c1", &logs).unwrap();
    let hosts: Vec<_> = story
        .lines
        .iter()
        .map(|line| (line.host.as_str(), line.after_ms))
        .collect();
    assert_eq!(hosts, [("edge-b", -200), ("edge-b", 0)]);
}

/// Guards against arbitrary bytes in a log that end the command.
#[test]
fn arbitrary_lines_are_left_out() {
    arbtest::arbtest(|input| {
        let text: String = input.arbitrary()?;
        let text = format!("{text}\n{HOST_2}");
        let logs = [HostLog {
            host: "h",
            text: &text,
        }];
        assert!(explain_request("b12", &logs).is_some());
        Ok(())
    });
}

/// Guards against a command that needs a daemon, or hides that nothing was found.
#[test]
fn the_command_prints_a_story_or_fails() {
    let run = |arguments: &[&str]| -> ProgramRun {
        run_program(env!("CARGO_BIN_EXE_wisteriapin"), arguments, &[])
    };
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("host-2.log");
    std::fs::write(&file, HOST_2).unwrap();
    let file = file.to_str().unwrap();
    let found = run(&["explain", "b12", file]);
    assert_eq!(found.code, 0, "{}", found.stderr);
    assert!(
        found
            .stdout
            .contains("It ended as answered with status 200")
    );
    let json = run(&["explain", "b12", file, "--output", "json"]);
    let json: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(json["id"], "b12");
    let unknown = run(&["explain", "zz", file]);
    assert_eq!(unknown.code, 1);
    assert!(unknown.stderr.contains("names request zz"));
    assert_eq!(run(&["explain", "zz", "/nowhere.log"]).code, 2);
    assert_eq!(run(&["explain", "zz"]).code, 2);
}
