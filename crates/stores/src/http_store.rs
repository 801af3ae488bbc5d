//! An implementation of [`BlockStore`] over HTTP/1.1.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use http_types::{Body, Method, Request, Response};
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient, block_headers};
use yuccapass_types::{BlockHash, ChecksummedBlock, Clock, Deadline, StoreId};

use crate::block_store::{
    BlockStore, BlockTier, ContainsRequest, ContainsResponse, MAX_CONTAINS_BLOCKS, StoreStatus,
    refusals,
};
use crate::error::{StoreError, StoreErrorKind};

/// Largest accepted block payload.
const MAX_BLOCK_BYTES: usize = 64 << 20;

/// Largest accepted response without a block; a status has a few hundred bytes.
const MAX_JSON_BYTES: usize = 64 << 10;

/// A store VM behind an HTTP address.
pub struct HttpStore {
    id: StoreId,
    client: Arc<HttpClient>,
}

impl HttpStore {
    /// Creates a client without opening a connection.
    pub fn new(
        id: StoreId,
        address: SocketAddr,
        config: ClientConfig,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self { id, client: HttpClient::new(address, config, clock) }
    }

    fn block_request(&self, method: Method, block: BlockHash) -> Request {
        self.client.request(method, &format!("/blocks/{block}"))
    }

    /// Sends a request and reads the whole response.
    async fn call(
        &self,
        request: Request,
        max_bytes: usize,
        deadline: Deadline,
    ) -> Result<(Response, Vec<u8>), StoreError> {
        let exchange = self.client.send(request, ConnectionChoice::Reuse, deadline).await?;
        if !exchange.response().status().is_success() {
            return Err(status_error(exchange.response()));
        }
        Ok(exchange.read_body(max_bytes, deadline).await?)
    }
}

#[async_trait]
impl BlockStore for HttpStore {
    fn id(&self) -> &StoreId {
        &self.id
    }

    async fn put(&self, block: &ChecksummedBlock, deadline: Deadline) -> Result<(), StoreError> {
        check_intact(block)?;
        let mut request = self.block_request(Method::Put, block.hash);
        block_headers::insert(block, |name, value| {
            request.insert_header(name, value);
        });
        request.set_body(Body::from_bytes(block.payload.clone()));
        self.call(request, MAX_JSON_BYTES, deadline).await?;
        Ok(())
    }

    async fn get(
        &self,
        block: BlockHash,
        deadline: Deadline,
    ) -> Result<ChecksummedBlock, StoreError> {
        let request = self.block_request(Method::Get, block);
        let (response, payload) = self.call(request, MAX_BLOCK_BYTES, deadline).await?;
        let Some((generation, checksum)) = block_headers::parse(|name| header(&response, name))
        else {
            return Err(protocol_error("a block has no generation or checksum"));
        };
        // The checksum covers the hash, so this also detects a response with another block.
        let stored = ChecksummedBlock { hash: block, generation, checksum, payload };
        check_intact(&stored)?;
        Ok(stored)
    }

    async fn delete(&self, block: BlockHash, deadline: Deadline) -> Result<(), StoreError> {
        let request = self.block_request(Method::Delete, block);
        self.call(request, MAX_JSON_BYTES, deadline).await?;
        Ok(())
    }

    async fn contains(
        &self,
        blocks: &[BlockHash],
        deadline: Deadline,
    ) -> Result<Vec<Option<BlockTier>>, StoreError> {
        if blocks.len() > MAX_CONTAINS_BLOCKS {
            return Err(protocol_error(format!(
                "{} blocks are requested at once, but at most {MAX_CONTAINS_BLOCKS} are allowed",
                blocks.len()
            )));
        }
        let mut request = self.client.request(Method::Post, "/contains");
        let body = ContainsRequest { blocks: blocks.to_vec() };
        let body = serde_json::to_vec(&body).map_err(protocol_error)?;
        request.set_body(Body::from_bytes(body));
        let (_, bytes) = self.call(request, MAX_JSON_BYTES, deadline).await?;
        let answer: ContainsResponse = serde_json::from_slice(&bytes).map_err(protocol_error)?;
        if answer.tiers.len() != blocks.len() {
            let text = "the answer does not have a tier for each block";
            return Err(protocol_error(text));
        }
        Ok(answer.tiers)
    }

    async fn status(&self, deadline: Deadline) -> Result<StoreStatus, StoreError> {
        let request = self.client.request(Method::Get, "/status");
        let (_, bytes) = self.call(request, MAX_JSON_BYTES, deadline).await?;
        serde_json::from_slice(&bytes).map_err(protocol_error)
    }
}

fn protocol_error(detail: impl ToString) -> StoreError {
    StoreError::new(StoreErrorKind::Protocol, detail.to_string())
}

fn check_intact(block: &ChecksummedBlock) -> Result<(), StoreError> {
    if block.is_intact() {
        return Ok(());
    }
    let detail = format!("block {} does not match its checksum", block.hash);
    Err(StoreError::new(StoreErrorKind::Torn, detail))
}

/// Converts an error response.
fn status_error(response: &Response) -> StoreError {
    let kind = match header(response, refusals::HEADER) {
        Some(refusals::MISSING) => StoreErrorKind::Missing,
        Some(refusals::TORN) => StoreErrorKind::Torn,
        Some(refusals::FULL) => StoreErrorKind::Full,
        _ => StoreErrorKind::Protocol,
    };
    StoreError::new(kind, format!("the store answered with status {}", response.status()))
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.header(name).map(|values| values.as_str())
}
