//! Calls between hosts, over long-lived `jsonrpsee` connections.
//!
//! One thread runs the async runtime that the library needs. It only passes messages through
//! channels and makes no decisions. Every call and reply is signed with the key ring of the
//! settings.

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use flume::{Receiver, Sender};
use jsonrpsee::client_transport::ws::{Url, WsTransportClientBuilder};
use jsonrpsee::core::client::{Client, ClientBuilder, ClientT};
use jsonrpsee::rpc_params;
use jsonrpsee::server::{RpcModule, Server, ServerConfig};
use jsonrpsee::types::ErrorObjectOwned;
use serde::de::DeserializeOwned;
use serde::Serialize;

use tidetrack_core::bill_replicator::HoldCall;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::HostId;
use tidetrack_core::message_auth::KeyRing;
use tidetrack_core::node::Exchange;
use tidetrack_core::units::Millis;
use tidetrack_wire::peer::{
    ExchangeCall, HoldReply, ProbeCall, ProbeReply, SignedMessage, METHOD_EXCHANGE, METHOD_HOLD,
    METHOD_PROBE,
};

use crate::billing::BillMsg;
use crate::control::ControlMsg;
use crate::logging;

/// Time within which a connection to another host must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time within which another host must reply to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of connections that other hosts may open to this host.
const MAX_CONNECTIONS: u32 = 128;

/// Maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// Maximum number of cached connections to other hosts. When it is reached, the cache is cleared
/// before the next connection is added.
const MAX_CLIENTS: usize = 24;

/// A call to another host, requested by another thread of this host.
pub enum PeerJob {
    /// Exchange changed state with a host.
    Exchange {
        /// Host to exchange with.
        to: HostId,
        /// Address of the host as `ip:port`.
        address: String,
        /// Time at which the control thread requested the exchange.
        sent_at: Millis,
        /// Request half of the exchange.
        half: Exchange,
    },
    /// Ask a host to hold bills.
    Hold {
        /// Address of the holder as `ip:port`.
        address: String,
        /// The bills to hold and to drop.
        call: HoldCall,
        /// Number by which the bill replicator identifies the call.
        batch: u64,
    },
    /// Ask another host to connect to a target.
    Probe {
        /// Address of the host that makes the probe, as `ip:port`.
        via: String,
        /// Target of the probe.
        call: ProbeCall,
    },
}

/// Parameters of the peers thread.
pub struct PeerServiceParams {
    /// ID of this host; exchanges addressed to another host are rejected.
    pub host: HostId,
    /// Keys that sign and verify calls and replies.
    pub keys: KeyRing,
    /// Calls requested by other threads.
    pub jobs: Receiver<PeerJob>,
    /// Channel to the control thread.
    pub control: Sender<ControlMsg>,
    /// Channel to the bill replicator.
    pub bill_messages: Sender<BillMsg>,
    /// Logger for rejected calls.
    pub logger: slog::Logger,
}

struct PeerService {
    host: HostId,
    keys: KeyRing,
    control: Sender<ControlMsg>,
    bill_messages: Sender<BillMsg>,
    logger: slog::Logger,
    clients: Mutex<HashMap<String, Arc<Client>>>,
}

/// Starts the peers thread on a bound listener and waits until it serves. The thread ends when all
/// senders of jobs are dropped.
///
/// Returns an error if the thread, its runtime or the server cannot be started.
pub fn start(params: PeerServiceParams, listener: TcpListener) -> anyhow::Result<()> {
    listener.set_nonblocking(true)?;
    let thread = std::thread::Builder::new().name("peers".into()).stack_size(512 * 1024);
    let (started_tx, started) = flume::bounded(1);
    thread.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => runtime.block_on(run(params, listener, started_tx)),
            Err(err) => drop(started_tx.send(Err(err.into()))),
        }
    })?;
    started.recv().context("the thread for calls between hosts ended before its server started")?
}

async fn run(
    params: PeerServiceParams,
    listener: TcpListener,
    started: Sender<anyhow::Result<()>>,
) {
    let jobs = params.jobs;
    let service = Arc::new(PeerService {
        host: params.host,
        keys: params.keys,
        control: params.control,
        bill_messages: params.bill_messages,
        logger: params.logger,
        clients: Mutex::default(),
    });
    let server = match serve(service.clone(), listener) {
        Ok(server) => server,
        Err(err) => return drop(started.send(Err(err))),
    };
    drop(started.send(Ok(())));
    while let Ok(job) = jobs.recv_async().await {
        let service = service.clone();
        tokio::spawn(async move { service.run_job(job).await });
    }
    // The process is ending; an error only says that the server has stopped already.
    let _ = server.stop();
}

fn serve(
    service: Arc<PeerService>,
    listener: TcpListener,
) -> anyhow::Result<jsonrpsee::server::ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .set_tcp_no_delay(true)
        .ws_only()
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener)?;
    let mut module = RpcModule::new(service);
    module.register_async_method(METHOD_EXCHANGE, |params, cx, _| async move {
        let call: ExchangeCall = cx.verify_params(METHOD_EXCHANGE, params.one())?;
        cx.sign_reply(METHOD_EXCHANGE, &cx.exchange(call).await?)
    })?;
    module.register_async_method(METHOD_HOLD, |params, cx, _| async move {
        let call: HoldCall = cx.verify_params(METHOD_HOLD, params.one())?;
        let (reply_sender, reply_receiver) = flume::bounded(1);
        let send_result = cx.bill_messages.send(BillMsg::Hold { call, reply: reply_sender });
        let held = send_result.is_ok() && reply_receiver.recv_async().await.unwrap_or(false);
        cx.sign_reply(METHOD_HOLD, &HoldReply { held })
    })?;
    module.register_async_method(METHOD_PROBE, |params, cx, _| async move {
        let call: ProbeCall = cx.verify_params(METHOD_PROBE, params.one())?;
        let reached = cx.client(&call.address).await.is_ok_and(|c| c.is_connected());
        cx.sign_reply(METHOD_PROBE, &ProbeReply { reached })
    })?;
    Ok(server.start(module))
}

fn rpc_error(text: impl ToString) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(-32_000, text.to_string(), None::<()>)
}

impl PeerService {
    fn verify_params<T: DeserializeOwned>(
        &self,
        method: &str,
        params: std::result::Result<SignedMessage, ErrorObjectOwned>,
    ) -> std::result::Result<T, ErrorObjectOwned> {
        let verified = params?.verify(&self.keys, method);
        verified.map_err(|err: Error| {
            logging::log(&self.logger, Event::PeerRefused, &err.to_string());
            rpc_error(err)
        })
    }

    fn sign_reply<T: Serialize>(
        &self,
        method: &str,
        body: &T,
    ) -> std::result::Result<SignedMessage, ErrorObjectOwned> {
        SignedMessage::sign(&self.keys, method, body).map_err(rpc_error)
    }

    async fn exchange(
        &self,
        call: ExchangeCall,
    ) -> std::result::Result<Exchange, ErrorObjectOwned> {
        if call.to != self.host {
            return Err(rpc_error(format!(
                "this is host {}, but the call is addressed to host {}",
                self.host, call.to
            )));
        }
        let (reply_sender, reply_receiver) = flume::bounded(1);
        let message = ControlMsg::PeerExchange { half: call.half, reply: reply_sender };
        self.control.send(message).map_err(|_| rpc_error("the host is shutting down"))?;
        reply_receiver.recv_async().await.map_err(|_| rpc_error("the host is shutting down"))
    }

    async fn run_job(&self, job: PeerJob) {
        match job {
            PeerJob::Exchange { to, address, sent_at, half } => {
                let nonce = half.nonce;
                let call = ExchangeCall { to: to.clone(), half };
                let message = match self.call(&address, METHOD_EXCHANGE, &call).await {
                    Ok(reply) => ControlMsg::PeerReply { to, sent_at, nonce, reply },
                    Err(_) => ControlMsg::PeerFailed { to },
                };
                // The control thread ends only with the process.
                let _ = self.control.send(message);
            }
            PeerJob::Hold { address, batch, call } => {
                let held = self.call::<_, HoldReply>(&address, METHOD_HOLD, &call).await;
                let is_held = held.is_ok_and(|r| r.held);
                let _ = self.bill_messages.send(BillMsg::HoldDone { batch, is_held });
            }
            PeerJob::Probe { via, call } => {
                let target = call.target.clone();
                let reply = self.call::<_, ProbeReply>(&via, METHOD_PROBE, &call).await;
                let is_reachable = reply.is_ok_and(|r| r.reached);
                let _ = self.control.send(ControlMsg::ProbeFinished { target, is_reachable });
            }
        }
    }

    /// Calls a method of another host and verifies the signature of the reply. The cached
    /// connection is dropped if the call fails.
    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        method: &'static str,
        body: &Q,
    ) -> anyhow::Result<R> {
        let client = self.client(address).await?;
        let signed = SignedMessage::sign(&self.keys, method, body)?;
        let reply: std::result::Result<SignedMessage, _> =
            client.request(method, rpc_params![signed]).await;
        match reply {
            Ok(signed) => Ok(verify_reply(&self.keys, method, &signed)?),
            Err(err) => {
                self.lock().remove(address);
                Err(err.into())
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Arc<Client>>> {
        self.clients.lock().expect("no holder of the lock panics")
    }

    /// Returns the cached connection to a host, or opens a new one.
    async fn client(&self, address: &str) -> anyhow::Result<Arc<Client>> {
        let existing = self.lock().get(address).cloned();
        if let Some(client) = existing.filter(|c| c.is_connected()) {
            return Ok(client);
        }
        let url = Url::parse(&format!("ws://{address}"))?;
        let transport =
            WsTransportClientBuilder::default().connection_timeout(CONNECT_TIMEOUT).build(url);
        let (tx, rx) = tokio::time::timeout(CONNECT_TIMEOUT, transport).await??;
        let client = ClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .set_tcp_no_delay(true)
            .build_with_tokio(tx, rx);
        let client = Arc::new(client);
        let mut clients = self.lock();
        clients.retain(|_, c| c.is_connected());
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.insert(address.to_string(), client.clone());
        Ok(client)
    }
}

fn verify_reply<R: DeserializeOwned>(
    keys: &KeyRing,
    method: &str,
    signed: &SignedMessage,
) -> Result<R> {
    signed.verify(keys, method)
}
