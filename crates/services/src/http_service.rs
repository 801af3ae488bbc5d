//! An implementation of [`PlainService`] that forwards calls over HTTP/1.1.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use http_types::{Body, Headers, Method, Request, Response, StatusCode};
use yuccapass_http::{ClientConfig, ConnectionChoice, Exchange, HttpClient};
use yuccapass_types::{Clock, Deadline, EndpointId};

use crate::body::ReplyBody;
use crate::error::{ServiceError, ServiceErrorKind};
use crate::headers::end_to_end;
use crate::plain_service::{PlainService, ServiceCall, ServiceReply};

/// A service behind an HTTP address.
pub struct HttpService {
    id: EndpointId,
    client: Arc<HttpClient>,
}

impl HttpService {
    /// Creates a client without opening a connection.
    pub fn new(
        id: EndpointId,
        address: SocketAddr,
        config: ClientConfig,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self { id, client: HttpClient::new(address, config, clock) }
    }

    fn request(&self, call: ServiceCall) -> Request {
        let mut request = self.client.request(call.method, &call.path_and_query);
        request.set_body(call.body);
        let headers = end_to_end(&call.headers);
        // Setting the body also sets a content type; a call without one is forwarded without one.
        request.remove_header("content-type");
        for (name, values) in headers.iter() {
            request.insert_header(name.clone(), values);
        }
        request
    }

    fn reply(&self, exchange: Exchange, has_body: bool, deadline: Deadline) -> ServiceReply {
        let status = exchange.response().status().into();
        let headers = reply_headers(exchange.response());
        let body = match has_body {
            true => {
                let length = exchange.response().len();
                let remaining = deadline.remaining(self.client.clock().now());
                Body::from_reader(ReplyBody::new(exchange, remaining), length)
            }
            false => {
                // Nothing follows the head, so the connection can be reused at once.
                exchange.finish();
                Body::empty()
            }
        };
        ServiceReply { status, headers, body }
    }
}

#[async_trait]
impl PlainService for HttpService {
    fn id(&self) -> &EndpointId {
        &self.id
    }

    async fn call(&self, call: ServiceCall) -> Result<ServiceReply, ServiceError> {
        if call.method == Method::Connect {
            let text = "CONNECT asks for a tunnel, which is not offered";
            return Err(ServiceError::new(ServiceErrorKind::InvalidCall, false, text));
        }
        let choice = match call.is_repeatable {
            true => ConnectionChoice::Reuse,
            false => ConnectionChoice::New,
        };
        let (method, deadline) = (call.method, call.deadline);
        let exchange = self.client.send(self.request(call), choice, deadline).await?;
        let has_body = body_follows(method, exchange.response())?;
        Ok(self.reply(exchange, has_body, deadline))
    }
}

/// Returns whether the head of a response is followed by a body.
fn body_follows(method: Method, response: &Response) -> Result<bool, ServiceError> {
    let protocol_error = |text| ServiceError::new(ServiceErrorKind::Protocol, true, text);
    let status = response.status();
    if status.is_informational() {
        return Err(protocol_error("the service sent an interim response instead of a final one"));
    }
    if method == Method::Head || [StatusCode::NoContent, StatusCode::NotModified].contains(&status)
    {
        return Ok(false);
    }
    let has_length = response.header("content-length").is_some();
    if !has_length && response.header("transfer-encoding").is_none() {
        // Such a body ends when the connection is closed, so a truncated one would look complete.
        return Err(protocol_error("the response has neither a length nor chunks"));
    }
    Ok(true)
}

fn reply_headers(response: &Response) -> Headers {
    let headers: &Headers = response.as_ref();
    let mut kept = end_to_end(headers);
    // async-h1 adds a date to a response without one, in a form that is not a valid header.
    let is_invalid =
        |name: &str| kept.get(name).is_some_and(|values| values.as_str().contains(['\r', '\n']));
    if is_invalid("date") {
        kept.remove("date");
    }
    kept
}
