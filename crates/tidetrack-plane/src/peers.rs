//! Messages between hosts, over UDP.
//!
//! Each message contains the current state of its sender, so lost and late messages need no special
//! handling. Datagrams are used instead of calls for this reason.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::peers::PeerMessage;

use crate::bind::bind_when_available;
use crate::shared::SharedRef;

/// Maximum size of a message, in bytes. Larger messages are not sent.
const MAX_MESSAGE_BYTES: usize = 8 << 10;

/// The socket for messages between hosts.
pub struct PeerSocket {
    shared: SharedRef,
    /// Empty until the address is available.
    socket: Rc<OnceCell<UdpSocket>>,
}

impl PeerSocket {
    /// Binds the socket and starts to receive messages. If the address is not available yet, the host runs
    /// without contact to others until it is.
    pub async fn start(shared: SharedRef) -> PeerSocket {
        let bound = UdpSocket::bind(shared.settings.peer_address).await;
        let socket = Rc::new(bound.map(OnceCell::from).unwrap_or_default());
        tokio::task::spawn_local(receive_messages(shared.clone(), socket.clone()));
        PeerSocket { shared, socket }
    }

    /// Sends messages without waiting. A message that cannot be sent now is counted and dropped,
    /// like one that is lost on the network.
    pub fn send(&self, messages: &[(SocketAddr, PeerMessage)]) {
        for (address, message) in messages {
            let result =
                postcard::to_allocvec(message).map_err(|e| e.to_string()).and_then(|bytes| {
                    if bytes.len() > MAX_MESSAGE_BYTES {
                        return Err(format!(
                            "the message of {} bytes exceeds the size limit",
                            bytes.len()
                        ));
                    }
                    let socket = self.socket.get().ok_or("the socket is not bound")?;
                    socket.try_send_to(&bytes, *address).map_err(|e| e.to_string())
                });
            if result.is_err() {
                self.shared.metrics.record_peer_message("not_sent");
            }
        }
        self.shared.metrics.record_sent_peer_messages(messages.len());
    }
}

async fn receive_messages(shared: SharedRef, socket: Rc<OnceCell<UdpSocket>>) {
    let address = shared.settings.peer_address;
    let bind = async || Ok(UdpSocket::bind(address).await?);
    let socket = match socket.get() {
        Some(bound) => bound,
        None => match bind_when_available(&shared.journal, address, bind).await {
            Ok(bound) => socket.get_or_init(|| bound),
            Err(e) => {
                shared.journal.log(Event::PeerSocketFailed, &[("why", &e)]);
                return;
            }
        },
    };
    let mut buf = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _)) => len,
            // On a datagram socket this error reports that an earlier message did not reach its
            // destination.
            Err(_) => continue,
        };
        match postcard::from_bytes::<PeerMessage>(&buf[..len]) {
            Ok(message) => shared.send_input(Input::PeerMessageReceived(Box::new(message))),
            Err(_) => shared.metrics.record_peer_message("unreadable"),
        }
    }
}
