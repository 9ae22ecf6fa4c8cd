//! Calls between hosts, over `jsonrpsee` on long-lived connections.
//!
//! One thread runs the async runtime that the library needs; it hands over by channels and decides
//! nothing. Every call and reply is sealed with the settings' key ring.

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
use crate::control::Msg;
use crate::logging;

/// A connection must be made within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// A call must be answered within this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Most connections that other hosts may open here.
const MOST_CONNECTIONS: u32 = 128;

/// Largest message, in bytes.
const LARGEST_MESSAGE: u32 = 4 << 20;

/// Connections kept open to others.
const MOST_CLIENTS: usize = 24;

/// A call that another thread wants made.
pub enum Job {
    /// Exchange what changed.
    Exchange {
        /// With whom.
        to: HostId,
        /// `ip:port`.
        address: String,
        /// When it was asked for.
        sent_at: Millis,
        /// What to say.
        half: Exchange,
    },
    /// Have bills held.
    Hold {
        /// `ip:port` of the holder.
        address: String,
        /// The bills.
        call: HoldCall,
        /// The call's number for the keeper of the bills.
        batch: u64,
    },
    /// Have `target` called by another host.
    Probe {
        /// `ip:port` of who is asked.
        via: String,
        /// Who is to be called.
        call: ProbeCall,
    },
}

/// What the thread needs.
pub struct Peers {
    /// This host.
    pub host: HostId,
    /// The keys.
    pub keys: KeyRing,
    /// Jobs of the other threads.
    pub jobs: Receiver<Job>,
    /// The control thread.
    pub control: Sender<Msg>,
    /// The keeper of the bills.
    pub bills: Sender<BillMsg>,
    /// The log.
    pub logger: slog::Logger,
}

struct Inner {
    host: HostId,
    keys: KeyRing,
    control: Sender<Msg>,
    bills: Sender<BillMsg>,
    logger: slog::Logger,
    clients: Mutex<HashMap<String, Arc<Client>>>,
}

/// Starts the thread on a bound listener. It ends when all senders of jobs are gone.
pub fn start(peers: Peers, listener: TcpListener) -> anyhow::Result<()> {
    listener.set_nonblocking(true)?;
    let thread = std::thread::Builder::new().name("peers".into()).stack_size(512 * 1024);
    let (started_tx, started) = flume::bounded(1);
    thread.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => runtime.block_on(run(peers, listener, started_tx)),
            Err(e) => drop(started_tx.send(Err(e.into()))),
        }
    })?;
    started.recv().context("the thread for calls between hosts ended")?
}

async fn run(peers: Peers, listener: TcpListener, started: Sender<anyhow::Result<()>>) {
    let jobs = peers.jobs;
    let inner = Arc::new(Inner {
        host: peers.host,
        keys: peers.keys,
        control: peers.control,
        bills: peers.bills,
        logger: peers.logger,
        clients: Mutex::default(),
    });
    let server = match serve(inner.clone(), listener) {
        Ok(server) => server,
        Err(e) => return drop(started.send(Err(e))),
    };
    drop(started.send(Ok(())));
    while let Ok(job) = jobs.recv_async().await {
        let inner = inner.clone();
        tokio::spawn(async move { inner.run_job(job).await });
    }
    // The process ends; a server that has stopped already says so, which changes nothing.
    let _ = server.stop();
}

fn serve(
    inner: Arc<Inner>,
    listener: TcpListener,
) -> anyhow::Result<jsonrpsee::server::ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(MOST_CONNECTIONS)
        .max_request_body_size(LARGEST_MESSAGE)
        .max_response_body_size(LARGEST_MESSAGE)
        .set_tcp_no_delay(true)
        .ws_only()
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener)?;
    let mut module = RpcModule::new(inner);
    module.register_async_method(METHOD_EXCHANGE, |params, cx, _| async move {
        let call: ExchangeCall = cx.open(METHOD_EXCHANGE, params.one())?;
        cx.seal(METHOD_EXCHANGE, &cx.exchange(call).await?)
    })?;
    module.register_async_method(METHOD_HOLD, |params, cx, _| async move {
        let call: HoldCall = cx.open(METHOD_HOLD, params.one())?;
        let (tx, rx) = flume::bounded(1);
        let sent = cx.bills.send(BillMsg::Hold { call, reply: tx });
        let held = sent.is_ok() && rx.recv_async().await.unwrap_or(false);
        cx.seal(METHOD_HOLD, &HoldReply { held })
    })?;
    module.register_async_method(METHOD_PROBE, |params, cx, _| async move {
        let call: ProbeCall = cx.open(METHOD_PROBE, params.one())?;
        let reached = cx.client(&call.address).await.is_ok_and(|c| c.is_connected());
        cx.seal(METHOD_PROBE, &ProbeReply { reached })
    })?;
    Ok(server.start(module))
}

fn refusal(text: impl ToString) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(-32_000, text.to_string(), None::<()>)
}

impl Inner {
    fn open<T: DeserializeOwned>(
        &self,
        method: &str,
        params: std::result::Result<SignedMessage, ErrorObjectOwned>,
    ) -> std::result::Result<T, ErrorObjectOwned> {
        let opened = params?.verify(&self.keys, method);
        opened.map_err(|e: Error| {
            logging::log(&self.logger, Event::PeerRefused, &e.to_string());
            refusal(e)
        })
    }

    fn seal<T: Serialize>(
        &self,
        method: &str,
        body: &T,
    ) -> std::result::Result<SignedMessage, ErrorObjectOwned> {
        SignedMessage::sign(&self.keys, method, body).map_err(refusal)
    }

    async fn exchange(
        &self,
        call: ExchangeCall,
    ) -> std::result::Result<Exchange, ErrorObjectOwned> {
        if call.to != self.host {
            return Err(refusal(format!("this is {}, not {}", self.host, call.to)));
        }
        let (tx, rx) = flume::bounded(1);
        let msg = Msg::PeerExchange { half: call.half, reply: tx };
        self.control.send(msg).map_err(|_| refusal("the host ends"))?;
        rx.recv_async().await.map_err(|_| refusal("the host ends"))
    }

    async fn run_job(&self, job: Job) {
        match job {
            Job::Exchange { to, address, sent_at, half } => {
                let nonce = half.nonce;
                let call = ExchangeCall { to: to.clone(), half };
                let msg = match self.call(&address, METHOD_EXCHANGE, &call).await {
                    Ok(reply) => Msg::PeerReply { to, sent_at, nonce, reply },
                    Err(_) => Msg::PeerFailed { to },
                };
                // The control thread is gone only when the process ends.
                let _ = self.control.send(msg);
            }
            Job::Hold { address, batch, call } => {
                let held = self.call::<_, HoldReply>(&address, METHOD_HOLD, &call).await;
                let is_held = held.is_ok_and(|r| r.held);
                let _ = self.bills.send(BillMsg::HoldDone { batch, is_held });
            }
            Job::Probe { via, call } => {
                let target = call.target.clone();
                let reply = self.call::<_, ProbeReply>(&via, METHOD_PROBE, &call).await;
                let reached = reply.is_ok_and(|r| r.reached);
                let _ = self.control.send(Msg::Probed { target, reached });
            }
        }
    }

    /// Calls a method of another host.
    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        method: &'static str,
        body: &Q,
    ) -> anyhow::Result<R> {
        let client = self.client(address).await?;
        let sealed = SignedMessage::sign(&self.keys, method, body)?;
        let reply: std::result::Result<SignedMessage, _> =
            client.request(method, rpc_params![sealed]).await;
        match reply {
            Ok(sealed) => Ok(open_reply(&self.keys, method, &sealed)?),
            Err(e) => {
                self.lock().remove(address);
                Err(e.into())
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, Arc<Client>>> {
        self.clients.lock().expect("no holder of the lock panics")
    }

    /// Gets the connection to a host, or makes one.
    async fn client(&self, address: &str) -> anyhow::Result<Arc<Client>> {
        let found = self.lock().get(address).cloned();
        if let Some(client) = found.filter(|c| c.is_connected()) {
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
        if clients.len() >= MOST_CLIENTS {
            clients.clear();
        }
        clients.insert(address.to_string(), client.clone());
        Ok(client)
    }
}

fn open_reply<R: DeserializeOwned>(
    keys: &KeyRing,
    method: &str,
    sealed: &SignedMessage,
) -> Result<R> {
    sealed.verify(keys, method)
}
