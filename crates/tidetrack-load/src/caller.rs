//! A caller that sends requests to a host and reads the responses.

use std::io::Read;

use serde_json::{json, Value};

use tidetrack_core::codes::Executed;
use tidetrack_wire::headers;

/// Timeout of a call, in seconds.
const TIMEOUT_SECONDS: u64 = 60;

/// A response as the caller receives it.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The HTTP status; 0 if the response head was not received.
    pub status: u16,
    /// The response headers as pairs of name and value.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: String,
    /// Whether the body was received to its end without an error.
    pub is_body_complete: bool,
}

impl Reply {
    /// Returns the value of a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        headers::find(&self.headers, name).unwrap_or_default()
    }

    /// Returns the version that served the request, or an empty string.
    pub fn version(&self) -> &str {
        self.header(headers::VERSION)
    }

    /// Returns the result code of an error response, or an empty string. The error may also follow
    /// the events of a stream.
    pub fn code(&self) -> String {
        let start = self.body.find("{\"error\"").unwrap_or(self.body.len());
        let refusal: Value = serde_json::from_str(self.body[start..].trim()).unwrap_or_default();
        refusal["error"]["code"].as_str().unwrap_or_default().to_string()
    }

    /// Returns whether the request was executed, as stated in an error response. `None` if the body is
    /// not an error response.
    pub fn executed(&self) -> Option<Executed> {
        let refusal: Value = serde_json::from_str(&self.body).ok()?;
        serde_json::from_value(refusal["error"]["ran"].clone()).ok()
    }

    /// Reports whether this is a streamed response with status 200 that reached its end marker.
    pub fn is_complete_stream(&self) -> bool {
        self.status == 200 && self.body.trim_end().ends_with("data: [DONE]")
    }

    /// Returns the text of a streamed or non-streamed chat response.
    pub fn text(&self) -> String {
        if !self.body.starts_with("data:") {
            let whole: Value = serde_json::from_str(&self.body).unwrap_or_default();
            return whole["choices"][0]["message"]["content"].as_str().unwrap_or_default().into();
        }
        let events = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        let chunks = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
        let text = |c: Value| c["choices"][0]["delta"]["content"].as_str().map(str::to_string);
        chunks.filter_map(text).collect()
    }
}

/// A caller that uses the key of a workspace and sends its requests to one host.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Address of the host, as `ip:port`.
    pub host: String,
    /// API key of the workspace.
    pub key: String,
}

impl Caller {
    /// Creates an authorized POST request to a path.
    pub fn post(&self, path: &str, body: impl Into<Vec<u8>>) -> minreq::Request {
        minreq::post(format!("http://{}{path}", self.host))
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_header("Content-Type", "application/json")
            .with_body(body)
            .with_timeout(TIMEOUT_SECONDS)
    }

    /// Creates a chat request with one user message and at most `tokens` response tokens.
    pub fn chat_request(
        &self,
        route: &str,
        text: &str,
        stream: bool,
        tokens: u64,
    ) -> minreq::Request {
        let body = json!({"model": route, "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": text}]});
        self.post("/v1/chat/completions", body.to_string())
    }

    /// Requests a ticket from the host. Returns `None` if the host does not issue one.
    pub fn request_ticket(&self) -> Option<String> {
        let reply = send(self.post("/v1/tickets", "{}"));
        let response_json: Value = serde_json::from_str(&reply.body).ok()?;
        Some(response_json["ticket"].as_str()?.to_string())
    }
}

/// Sends a request and reads the response to its end, or as far as it is received.
pub fn send(request: minreq::Request) -> Reply {
    let Ok(mut response) = request.send_lazy() else { return Reply::default() };
    let mut body = Vec::new();
    let read = response.read_to_end(&mut body);
    Reply {
        status: response.status_code,
        headers: response.headers.clone(),
        body: String::from_utf8_lossy(&body).to_string(),
        is_body_complete: read.is_ok(),
    }
}
