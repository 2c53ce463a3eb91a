//! The load tool against a scripted entry host.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use futures_channel::oneshot;
use http::StatusCode;
use http_util::{HttpReply, ServerLimits, body_channel, json_reply, read_body, serve_http};
use hyper::body::Incoming;
use serde_json::{Value, json};

const RUN_LIMIT: Duration = Duration::from_secs(30);

/// What the scripted host answers to model requests.
#[derive(Clone, Copy)]
enum ScriptedAnswer {
    Whole,
    SwappedTokens,
    /// One token, then the end of the body; the rest comes with a resume.
    Cut,
    Refusal,
}

struct EntryScript {
    address: String,
    answer: ScriptedAnswer,
    /// Method and path of every request but discovery.
    seen: RefCell<Vec<String>>,
    discoveries: Cell<u32>,
    /// Prompts of the model requests.
    prompts: RefCell<Vec<String>>,
    /// By key.
    max_tokens: RefCell<HashMap<String, u64>>,
}

async fn answer(script: Rc<EntryScript>, request: http::Request<Incoming>) -> HttpReply {
    let path = request.uri().path().to_owned();
    if path == "/v1/hosts" {
        script.discoveries.set(script.discoveries.get() + 1);
        let host = json!({"address": script.address, "home": "00000000000000ab", "zone": "z"});
        return json_reply(
            StatusCode::OK,
            &json!({"hosts": [host], "keep_seconds": 30}),
        );
    }
    let authorization = request.headers().get("authorization").cloned();
    assert_eq!(authorization.expect("a token"), "Bearer secret");
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    script
        .seen
        .borrow_mut()
        .push(format!("{} {path}{query}", request.method()));
    let body = read_body(request.into_body(), 1 << 20, RUN_LIMIT)
        .await
        .expect("a body");
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if path == "/v1/calls" {
        let result = json!({"placed": body["body"]});
        return json_reply(
            StatusCode::OK,
            &json!({"key": body["key"], "result": result}),
        );
    }
    let key = path
        .strip_prefix("/v1/requests/")
        .map_or(body["key"].clone(), |key| json!(key));
    let key = key.as_str().expect("a key").to_owned();
    if let Some(prompt) = body["prompt"].as_str() {
        script.prompts.borrow_mut().push(prompt.to_owned());
    }
    if let Some(max_tokens) = body["max_tokens"].as_u64() {
        script
            .max_tokens
            .borrow_mut()
            .insert(key.clone(), max_tokens);
    }
    let max_tokens = script.max_tokens.borrow()[&key];
    let mut order: Vec<u64> = (0..max_tokens).collect();
    match script.answer {
        ScriptedAnswer::Refusal => {
            let refusal = json!({"code": 1302, "ran": "not_run", "message": "late"});
            return json_reply(StatusCode::SERVICE_UNAVAILABLE, &refusal);
        }
        ScriptedAnswer::Whole => {}
        ScriptedAnswer::SwappedTokens => order.swap(0, 1),
        ScriptedAnswer::Cut if query == "?from=1" => order = (1..max_tokens).collect(),
        ScriptedAnswer::Cut => order.truncate(1),
    }
    let mut lines = vec![json!({"event": "dispatched", "endpoint": "e", "key": key})];
    let token = |i: &u64| json!({"event": "token", "index": i, "text": format!("t{i} ")});
    lines.extend(order.iter().map(token));
    if order.contains(&(max_tokens - 1)) {
        lines.push(json!({"event": "done", "tokens": max_tokens}));
    }
    let lines: Vec<String> = lines.iter().map(Value::to_string).collect();
    let text = lines.join("\n") + "\n";
    let (mut sender, reply) = body_channel(StatusCode::OK, 1);
    sender
        .start_send(Bytes::from(text))
        .expect("room for one chunk");
    reply
}

async fn run_against(scripted: ScriptedAnswer) -> (Value, Vec<String>) {
    let (summary, script) = run_with(scripted, &[]).await;
    (summary, script.seen.take())
}

async fn run_with(scripted: ScriptedAnswer, arguments: &[&str]) -> (Value, Rc<EntryScript>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let script = Rc::new(EntryScript {
        address: listener.local_addr().expect("an address").to_string(),
        answer: scripted,
        seen: RefCell::default(),
        discoveries: Cell::new(0),
        prompts: RefCell::default(),
        max_tokens: RefCell::default(),
    });
    let serving = Rc::clone(&script);
    let handler = move |request| answer(Rc::clone(&serving), request);
    let server = serve_http(listener, ServerLimits::default(), handler, || None);
    let server = compio::runtime::spawn(server);
    let child = Command::new(env!("CARGO_BIN_EXE_load-tool"))
        .args([
            "--entry",
            &script.address,
            "--workspace",
            "w=secret",
            "--late-seconds",
            "5",
        ])
        .args(["--rate", "50", "--seconds", "1", "--seed", "7"])
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the load tool starts");
    let (sender, receiver) = oneshot::channel();
    std::thread::spawn(move || sender.send(child.wait_with_output()));
    let output = compio::time::timeout(RUN_LIMIT, receiver)
        .await
        .expect("an end in time");
    let output = output.expect("a result").expect("output");
    drop(server);
    assert!(output.status.success());
    assert_eq!(script.discoveries.get(), 1, "the discovery answer is kept");
    let summary = serde_json::from_slice(&output.stdout).expect("a JSON summary");
    (summary, script)
}

fn total(summary: &Value, field: &str) -> u64 {
    let classes = summary["classes"].as_object().expect("classes");
    classes
        .values()
        .filter_map(|class| class[field].as_u64())
        .sum()
}

/// Guards against a load tool that calls wrong answers right, which would void every test of
/// whole answers.
#[compio::test]
async fn wrong_answers_are_counted() {
    let (summary, seen) = run_against(ScriptedAnswer::SwappedTokens).await;
    let orders = &summary["classes"]["order"];
    assert!(orders["sent"].as_u64() > Some(0));
    assert_eq!(orders["complete_in_time"], orders["sent"]);
    assert_eq!(orders["wrong_answers"], 0);
    let models = seen
        .iter()
        .filter(|line| line.starts_with("POST /v1/requests"))
        .count() as u64;
    assert_eq!(total(&summary, "sent"), seen.len() as u64);
    assert_eq!(summary["wrong_answers"], models);
}

/// Guards against refusals that are sent again or counted as failures.
#[compio::test]
async fn refusals_are_counted_by_code() {
    let (summary, seen) = run_against(ScriptedAnswer::Refusal).await;
    assert_eq!(total(&summary, "sent"), seen.len() as u64);
    let questions = &summary["classes"]["question"];
    assert_eq!(questions["refused"]["1302"], questions["sent"]);
    assert_eq!(questions["failed"], json!({}));
}

/// Guards against a cut stream that is sent again instead of resumed at the first missing token.
#[compio::test]
async fn cut_streams_are_resumed() {
    let (summary, seen) = run_against(ScriptedAnswer::Cut).await;
    let sent = seen
        .iter()
        .filter(|line| line.starts_with("POST /v1/requests"))
        .count();
    let resumed = seen
        .iter()
        .filter(|line| line.starts_with("GET /v1/requests/"))
        .count();
    assert!(sent > 0);
    assert_eq!(sent, resumed);
    assert!(
        seen.iter()
            .filter(|line| line.starts_with("GET"))
            .all(|l| l.ends_with("?from=1"))
    );
    assert_eq!(total(&summary, "resumes"), resumed as u64);
    assert_eq!(total(&summary, "complete_in_time"), total(&summary, "sent"));
    assert_eq!(summary["wrong_answers"], 0);
}

/// Guards against a plan that depends on anything but the seed, and right answers called wrong.
#[compio::test]
async fn same_seed_sends_the_same_load() {
    let (first, _) = run_against(ScriptedAnswer::Whole).await;
    let (second, _) = run_against(ScriptedAnswer::Whole).await;
    assert_eq!(first["wrong_answers"], 0);
    assert_eq!(total(&first, "complete_in_time"), total(&first, "sent"));
    for class in ["question", "tag", "document", "order"] {
        assert_eq!(
            first["classes"][class]["sent"],
            second["classes"][class]["sent"]
        );
    }
}

/// Guards against a load tool that sends the crash word in another share of its prompts, or as their
/// last word, or without being told to.
#[compio::test]
async fn a_share_of_the_prompts_has_the_crash_word() {
    let arguments = ["--crash-word", "poison,0.3"];
    let (summary, script) = run_with(ScriptedAnswer::Whole, &arguments).await;
    assert_eq!(total(&summary, "complete_in_time"), total(&summary, "sent"));
    let prompts = script.prompts.take();
    let words = prompts
        .iter()
        .map(|prompt| prompt.split_whitespace().collect());
    let (deadly, sound): (Vec<Vec<_>>, Vec<Vec<_>>) =
        words.partition(|words: &Vec<&str>| words.contains(&"poison"));
    // Three tenths of some 45 prompts, within what chance may draw.
    let is_share_right = (prompts.len()..prompts.len() * 5).contains(&(deadly.len() * 10));
    assert!(is_share_right, "{} of {}", deadly.len(), prompts.len());
    assert!(!sound.is_empty());
    assert!(deadly.iter().all(|words| words.last() != Some(&"poison")));
    let (_, without) = run_with(ScriptedAnswer::Whole, &[]).await;
    let without = without.prompts.take();
    assert!(without.iter().all(|prompt| !prompt.contains("poison")));
}
