//! Client of the platform's append-only log service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cyper::Client;
use http::{Method, StatusCode};
use http_util::{ClientError, request_json};
use serde::Deserialize;
use serde_json::json;

use crate::claim::AppendFailure;
use crate::events::{LogRead, LogTopic, TrafficKind};
use crate::ids::LogOffset;
use crate::messages::ConfigRecord;
use crate::traffic;

/// Longest wait for the reply to an append. An append may still take effect after a timeout.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the log service may hold a read open to wait for new records.
const READ_WAIT: Duration = Duration::from_secs(2);
const READ_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_READ_RECORDS: usize = 512;
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug, Deserialize)]
struct AppendReply {
    offset: LogOffset,
}

#[derive(Debug, Deserialize)]
struct ReadReply {
    end: LogOffset,
    records: Vec<ReadRecord>,
}

#[derive(Debug, Deserialize)]
struct ReadRecord {
    offset: LogOffset,
    at_ms: u64,
    data: String,
}

#[derive(Debug, Deserialize)]
struct ExpiredReply {
    first: LogOffset,
}

/// Client of one log service.
#[derive(Clone)]
pub(crate) struct LogClient {
    address: SocketAddr,
    client: Client,
}

impl LogClient {
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be set up.
    pub(crate) fn new(address: SocketAddr) -> Result<Self, cyper::Error> {
        let client = Client::new()?;
        Ok(Self { address, client })
    }

    /// Appends records in one call and returns the offset in the log's reply.
    ///
    /// # Errors
    ///
    /// Returns `NotAppended` only if the log service rejected the call or could not be reached.
    /// After any other error, the records may have been appended or may still be appended later.
    pub(crate) async fn append(
        &self,
        topic: LogTopic,
        records: &[String],
    ) -> Result<LogOffset, AppendFailure> {
        let path = format!("/v1/topics/{}/records", topic.name());
        let body = Bytes::from(json!({ "records": records }).to_string());
        // The pooled client does not distinguish a failed connection attempt from a lost reply, so
        // each append opens its own connection.
        traffic::count(
            TrafficKind::PlatformBytes,
            TrafficKind::PlatformMessages,
            path.len() + body.len(),
        );
        let call = request_json(self.address, Method::POST, &path, Some(body), 4096);
        match compio::time::timeout(APPEND_TIMEOUT, call).await {
            Ok(Ok((StatusCode::OK, body))) => serde_json::from_slice::<AppendReply>(&body)
                .map(|reply| reply.offset)
                .map_err(|_| AppendFailure::Unknown),
            Ok(Err(ClientError::Connect { .. })) => Err(AppendFailure::NotAppended),
            Ok(Ok((status, _)))
                if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE =>
            {
                Err(AppendFailure::NotAppended)
            }
            Ok(_) | Err(_) => Err(AppendFailure::Unknown),
        }
    }

    /// Reads records from an offset onwards. Waits up to `READ_WAIT` for new records.
    pub(crate) async fn read(&self, topic: LogTopic, from: LogOffset) -> LogRead {
        let url = format!(
            "http://{}/v1/topics/{}/records?from={from}&max={MAX_READ_RECORDS}&wait_ms={}",
            self.address,
            topic.name(),
            READ_WAIT.as_millis()
        );
        match compio::time::timeout(READ_TIMEOUT, self.fetch(&url)).await {
            Ok(Some((StatusCode::OK, body))) => parse_read(&body),
            Ok(Some((StatusCode::GONE, body))) => serde_json::from_slice::<ExpiredReply>(&body)
                .map_or(LogRead::Unavailable, |reply| LogRead::Forgotten {
                    first: reply.first,
                }),
            Ok(Some(_) | None) | Err(_) => LogRead::Unavailable,
        }
    }

    async fn fetch(&self, url: &str) -> Option<(StatusCode, Bytes)> {
        let response = self.client.get(url).ok()?.send().await.ok()?;
        let status = response.status();
        if response
            .content_length()
            .is_some_and(|length| length > MAX_REPLY_BYTES as u64)
        {
            return None;
        }
        let body = response.bytes().await.ok()?;
        traffic::count(
            TrafficKind::PlatformBytes,
            TrafficKind::PlatformMessages,
            url.len() + body.len(),
        );
        Some((status, body))
    }
}

pub(crate) fn parse_read(body: &[u8]) -> LogRead {
    let Ok(reply) = serde_json::from_slice::<ReadReply>(body) else {
        return LogRead::Unavailable;
    };
    let records = reply.records.into_iter().map(|record| ConfigRecord {
        offset: record.offset,
        at: Duration::from_millis(record.at_ms),
        data: record.data,
    });
    LogRead::Records {
        records: records.collect(),
        end: reply.end,
    }
}
