//! A caller: sends requests and reads what came back.

use std::io::Read;

use serde_json::{json, Value};

use tidetrack_core::codes::Executed;
use tidetrack_wire::headers;

/// Seconds that a call may take.
const TIMEOUT_SECONDS: u64 = 60;

/// An answer as a caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The HTTP status; 0 if there was no whole answer.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body came to its end.
    pub is_body_complete: bool,
}

impl Reply {
    /// Gets a header.
    pub fn header(&self, name: &str) -> &str {
        headers::find(&self.headers, name).unwrap_or_default()
    }

    /// Gets the version that answered.
    pub fn version(&self) -> &str {
        self.header(headers::VERSION)
    }

    /// Gets the result code of a refusal.
    pub fn code(&self) -> String {
        let start = self.body.find("{\"error\"").unwrap_or(self.body.len());
        let refusal: Value = serde_json::from_str(self.body[start..].trim()).unwrap_or_default();
        refusal["error"]["code"].as_str().unwrap_or_default().to_string()
    }

    /// Gets whether a refusal says that the request was run.
    pub fn executed(&self) -> Option<Executed> {
        let refusal: Value = serde_json::from_str(&self.body).ok()?;
        serde_json::from_value(refusal["error"]["ran"].clone()).ok()
    }

    /// Tells whether this is a whole streamed answer.
    pub fn is_complete_stream(&self) -> bool {
        self.status == 200 && self.body.trim_end().ends_with("data: [DONE]")
    }

    /// Gets the text of a streamed or whole answer.
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

/// A caller with a workspace's key, before one host.
#[derive(Clone, Debug)]
pub struct Caller {
    /// `ip:port` of the host.
    pub host: String,
    /// The key.
    pub key: String,
}

impl Caller {
    /// Makes a request to a path.
    pub fn post(&self, path: &str, body: impl Into<Vec<u8>>) -> minreq::Request {
        minreq::post(format!("http://{}{path}", self.host))
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_header("Content-Type", "application/json")
            .with_body(body)
            .with_timeout(TIMEOUT_SECONDS)
    }

    /// Makes a chat request.
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

    /// Asks for a ticket.
    pub fn request_ticket(&self) -> Option<String> {
        let reply = send(self.post("/v1/tickets", "{}"));
        let response_json: Value = serde_json::from_str(&reply.body).ok()?;
        Some(response_json["ticket"].as_str()?.to_string())
    }
}

/// Sends a request and reads what comes, to the end or to where it was cut.
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
