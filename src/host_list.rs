//! Client of the platform's list of live and leaving hosts, which lags behind their real state.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use cyper::Client;
use serde::Deserialize;

use crate::events::{HostListing, TrafficKind};
use crate::ids::{EndpointBrief, PoolKind, PoolName, VersionName};
use crate::membership::EntryListing;
use crate::traffic;

const READ_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Deserialize)]
struct ListReply {
    hosts: Vec<ListedHost>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ListedKind {
    Entry,
    Engine,
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ListedState {
    Live,
    Leaving,
}

#[derive(Debug, Deserialize)]
struct ListedHost {
    name: CompactString,
    address: SocketAddr,
    peer_address: Option<SocketAddr>,
    kind: ListedKind,
    region: CompactString,
    zone: CompactString,
    #[serde(default)]
    pool: PoolName,
    #[serde(default)]
    version: VersionName,
    state: ListedState,
}

/// Reads the list once; returns `None` if the platform does not answer with a valid list.
pub(crate) async fn read_host_list(client: &Client, address: SocketAddr) -> Option<HostListing> {
    let read = async {
        let url = format!("http://{address}/v1/hosts");
        let response = client.get(&url).ok()?.send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.bytes().await.ok()?;
        traffic::count(
            TrafficKind::PlatformBytes,
            TrafficKind::PlatformMessages,
            url.len() + body.len(),
        );
        parse_hosts(&body)
    };
    compio::time::timeout(READ_TIMEOUT, read).await.ok()?
}

pub(crate) fn parse_hosts(body: &[u8]) -> Option<HostListing> {
    let reply = serde_json::from_slice::<ListReply>(body).ok()?;
    Some(group_hosts(reply))
}

fn group_hosts(reply: ListReply) -> HostListing {
    let mut listing = HostListing::default();
    for host in reply.hosts {
        let leaving = host.state == ListedState::Leaving;
        let kind = match host.kind {
            ListedKind::Entry => {
                listing
                    .entries
                    .extend(host.peer_address.map(|peer_address| EntryListing {
                        name: host.name,
                        region: host.region,
                        zone: host.zone,
                        caller_address: host.address,
                        peer_address,
                        leaving,
                    }));
                continue;
            }
            ListedKind::Engine => PoolKind::Engine,
            ListedKind::Service => PoolKind::Service,
        };
        listing.endpoints.push(EndpointBrief {
            name: host.name,
            address: host.address,
            region: host.region,
            zone: host.zone,
            pool: host.pool,
            version: host.version,
            kind,
            leaving,
        });
    }
    listing
}
