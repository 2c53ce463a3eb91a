//! TCP proxy that injects network faults between processes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;

use clap::Parser;
use http::StatusCode;
use http_util::{HttpReply, json_reply};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use stand_ins::behaviour::patch_settings;
use stand_ins::proxy::{EndMode, ProxyRoute};
use stand_ins::server::{CallError, CallRequest, ListenArgs, serve_calls, start_logging};

#[derive(Parser)]
#[command(about = "TCP proxy that injects network faults; --listen is its admin address")]
struct ProxyArgs {
    #[command(flatten)]
    listen: ListenArgs,
    /// Listening and target address, as LISTEN=TARGET; repeatable.
    #[arg(long = "route", required = true)]
    routes: Vec<RoutePair>,
}

#[derive(Clone, Copy)]
struct RoutePair {
    listen: SocketAddr,
    target: SocketAddr,
}

impl FromStr for RoutePair {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (listen, target) = text.split_once('=').ok_or("expected LISTEN=TARGET")?;
        let parse = |address: &str| {
            address
                .parse()
                .map_err(|_| format!("bad address {address}"))
        };
        Ok(Self {
            listen: parse(listen)?,
            target: parse(target)?,
        })
    }
}

/// Body of `POST /admin/behaviour`; the other fields are a patch of the routes' faults.
#[derive(Deserialize)]
struct RouteCommand {
    routes: RouteChoice,
    /// Reset the open connections.
    #[serde(default)]
    reset: bool,
    #[serde(flatten)]
    patch: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RouteChoice {
    Indexes(Vec<usize>),
    Word(AllWord),
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum AllWord {
    All,
}

type RouteList = Rc<Vec<Rc<ProxyRoute>>>;

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    start_logging();
    let args = ProxyArgs::parse();
    let mut routes = Vec::new();
    for (seed, pair) in (args.listen.seed..).zip(args.routes) {
        let (route, listener) = ProxyRoute::bind(pair.listen, pair.target, seed).await?;
        compio::runtime::spawn(Rc::clone(&route).run(listener)).detach();
        routes.push(route);
    }
    let routes = Rc::new(routes);
    serve_calls(args.listen.listen, move |call| {
        let reply = answer(&routes, &call);
        async move { reply }
    })
    .await?;
    Ok(())
}

fn answer(routes: &RouteList, call: &CallRequest) -> Result<HttpReply, CallError> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["admin", "behaviour"]) => {
            execute(routes, call.json()?)?;
            Ok(describe(routes))
        }
        ("GET", ["admin", "stats"]) => Ok(describe(routes)),
        _ => Err(call.unknown()),
    }
}

fn execute(routes: &RouteList, command: RouteCommand) -> Result<(), CallError> {
    let chosen: Vec<&Rc<ProxyRoute>> = match command.routes {
        RouteChoice::Word(AllWord::All) => routes.iter().collect(),
        RouteChoice::Indexes(indexes) => {
            let find = |index| {
                let unknown = || CallError::bad_request(format!("there is no route {index}"));
                routes.get(index).ok_or_else(unknown)
            };
            indexes.into_iter().map(find).collect::<Result<_, _>>()?
        }
    };
    let patch = Value::Object(command.patch).to_string();
    let mut changes = Vec::new();
    for route in chosen {
        changes.push((route, patch_settings(&route.faults(), patch.as_bytes())?));
    }
    for (route, faults) in changes {
        route.set_faults(faults);
        if command.reset {
            route.end_connections(EndMode::Reset);
        }
    }
    Ok(())
}

fn describe(routes: &RouteList) -> HttpReply {
    let describe = |route: &Rc<ProxyRoute>| {
        json!({
            "listen": route.listen,
            "target": route.target,
            "faults": route.faults(),
            "stats": route.stats(),
        })
    };
    let routes: Vec<Value> = routes.iter().map(describe).collect();
    json_reply(StatusCode::OK, &json!({ "routes": routes }))
}
