//! Messages between hosts, over UDP.
//!
//! Each message tells the present state, so lost and late ones need no care; that is why these are
//! datagrams and not calls.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::peers::PeerMessage;

use crate::shared::SharedRef;

/// Largest message, in bytes; larger ones are not sent.
const MAX_MESSAGE_BYTES: usize = 8 << 10;

/// The socket for messages between hosts.
pub struct PeerSocket {
    shared: SharedRef,
    socket: Rc<UdpSocket>,
}

impl PeerSocket {
    /// Begins to hear messages; without a socket the host goes on alone.
    pub async fn start(shared: SharedRef) -> Option<PeerSocket> {
        let socket = match UdpSocket::bind(shared.settings.peer_address).await {
            Ok(socket) => Rc::new(socket),
            Err(e) => {
                shared.journal.log(Event::PeerSocketFailed, &[("why", &e)]);
                return None;
            }
        };
        tokio::task::spawn_local(receive_messages(shared.clone(), socket.clone()));
        Some(PeerSocket { shared, socket })
    }

    /// Sends messages; one that can't be sent now is as good as lost.
    pub fn send(&self, messages: &[(SocketAddr, PeerMessage)]) {
        for (address, message) in messages {
            let result =
                postcard::to_allocvec(message).map_err(|e| e.to_string()).and_then(|bytes| {
                    if bytes.len() > MAX_MESSAGE_BYTES {
                        return Err(format!("{} bytes", bytes.len()));
                    }
                    self.socket.try_send_to(&bytes, *address).map_err(|e| e.to_string())
                });
            if result.is_err() {
                self.shared.metrics.record_peer_message("not_sent");
            }
        }
        self.shared.metrics.record_sent_peer_messages(messages.len());
    }
}

async fn receive_messages(shared: SharedRef, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _)) => len,
            // On a datagram socket this is news of an earlier message that found nobody.
            Err(_) => continue,
        };
        match postcard::from_bytes::<PeerMessage>(&buf[..len]) {
            Ok(message) => shared.send_input(Input::PeerMessageReceived(Box::new(message))),
            Err(_) => shared.metrics.record_peer_message("unreadable"),
        }
    }
}
