//! Events that a node reports to its router, and actions that the router orders.

use std::net::SocketAddr;

use crate::configuration::Configuration;
use crate::customer::{CustomerName, KeyDigest};
use crate::directory::{self, Entry};
use crate::failover::{PromotionAnswer, Record, RecordName};
use crate::limit::{Loan, Request as LoanRequest};
use crate::membership::Peer;
use crate::message::{
    Answer, Command, ConnectionId, EndpointId, Fault, Introduction, Position, Request, ServiceName,
    SessionId,
};
use crate::revision::{Era, Revision};

/// Event that a node reports to its router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client has connected.
    ClientConnected(SessionId),
    /// Another node has opened a channel for one of its clients; its other events are those of a
    /// client.
    ChannelAccepted(SessionId, Introduction),
    /// The node at the other end of a channel reported what it knows.
    ChannelIntroduced(ConnectionId, Introduction),
    /// A client sent a message.
    ClientRequest(SessionId, Request),
    /// A client has disconnected.
    ClientDisconnected(SessionId),
    /// An endpoint accepted a connection; holds the end of the endpoint's log, if reported.
    EndpointConnected(ConnectionId, Option<Position>),
    /// An endpoint answered the oldest unanswered command of a connection.
    EndpointAnswered(ConnectionId, Answer),
    /// A connection was lost or refused.
    ConnectionLost(ConnectionId, ConnectionLoss),
    /// Entries of the endpoint directory changed.
    DirectoryChanged(directory::Change),
    /// The store is reachable again.
    StoreReachable,
    /// The store has become unreachable.
    StoreUnreachable,
    /// The store reported its era for the first time, or was restored from an older copy.
    StoreEra(Era),
    /// The nodes of the fleet were read for the first time, or have changed.
    PeersChanged(Vec<Peer>),
    /// A node of the fleet, named here, has answered a probe or has not.
    PeerProbed(EndpointId, bool),
    /// A pooler of this node's clients reported whether the store is unreachable for it.
    PeerStoreNotice(EndpointId, bool),
    /// Another holder of customers, named here, requests loans.
    LoanRequestsReceived(EndpointId, Vec<LoanRequest>),
    /// Another holder of customers, named here, answered requests, perhaps without loans.
    LoansReceived(EndpointId, Vec<Loan>),
    /// A version of the configuration was read.
    ConfigurationRead(Configuration),
    /// The read of a record ended.
    RecordFetched(RecordName, FetchResult),
    /// The write of a record ended.
    RecordWritten(RecordName, WriteResult),
    /// The platform answered a promotion of an endpoint of this service.
    PromotionAnswered(ServiceName, PromotionAnswer),
    /// The process received the stop signal.
    Stop,
    /// Time passed; sent periodically.
    Tick,
}

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The connection broke, or nothing listens at the address.
    Broken,
    /// The other node closed the channel while it was idle: it has not run the unanswered commands.
    Closed,
    /// The endpoint refused the connection.
    Refused(Fault),
}

/// Result of reading a store record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchResult {
    /// The record's revision and content.
    Found(Revision, Record),
    /// The record does not exist.
    Missing,
    /// The store did not answer.
    Failed,
}

/// Result of writing a store record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The record's new revision.
    Done(Revision),
    /// The record had another revision.
    Conflict,
    /// The store did not answer: the write may have taken effect, or may still do so.
    Failed,
}

/// Clients for whom this node watches the configuration and the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchScope {
    /// No clients.
    Nothing,
    /// Clients of this node.
    OwnClients,
    /// Clients of other nodes as well; those nodes must learn soon when this node does not reach the
    /// store.
    ClientsOfPeers,
}

/// Action that a router asks its node to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Report what this node knows to the node that opened a channel, before the channel is accepted
    /// or rejected.
    Introduce(SessionId, Introduction),
    /// Tell a client that its session is open.
    AcceptSession(SessionId),
    /// Refuse a client's session and close the client's connection.
    RejectSession(SessionId, Answer),
    /// Answer a client's statement.
    Reply(SessionId, Answer),
    /// Close a client's connection.
    CloseSession(SessionId),
    /// Connect to an endpoint.
    Connect {
        /// Identifier of the new connection.
        connection: ConnectionId,
        /// Directory entry of the endpoint.
        entry: Entry,
        /// Customer for whom the connection is opened; none if clients are not identified.
        customer: Option<CustomerName>,
    },
    /// Open a channel to a pooler.
    OpenChannel {
        /// Identifier of the new connection.
        connection: ConnectionId,
        /// The pooler, described as an endpoint.
        entry: Entry,
        /// Database of the channel's session.
        database: String,
        /// Key of the channel's clients; none if clients are not identified.
        key: Option<KeyDigest>,
        /// What this node knows of the configuration and of the customer.
        introduction: Introduction,
    },
    /// Send commands to an endpoint.
    SendCommands(ConnectionId, Vec<Command>),
    /// Close a connection to an endpoint.
    Disconnect(ConnectionId),
    /// Read a store record.
    FetchRecord(RecordName),
    /// Write a record if it still has this revision, or create it if the revision is none.
    WriteRecord(RecordName, Option<Revision>, Record),
    /// Ask the platform to promote an endpoint.
    Promote {
        /// Service of the endpoint.
        service: ServiceName,
        /// Endpoint to promote.
        endpoint: EndpointId,
        /// Fencing token of the failover lease.
        token: u64,
    },
    /// Read the configuration now instead of at the next change.
    RefreshConfiguration,
    /// Watch the configuration and the directory for the clients in this scope.
    WatchStore(WatchScope),
    /// Tell the nodes whose clients this node serves whether it reaches the store.
    AnnounceStoreStatus {
        /// Whether this node does not reach the store.
        store_is_unreachable: bool,
    },
    /// Find out whether a node runs at this address.
    ProbePeer(EndpointId, SocketAddr),
    /// Remove the record of a node that has left the fleet, unless it has changed.
    RemovePeer(EndpointId),
    /// Request loans of another node, on a link to it.
    SendLoanRequests {
        /// Name of the node.
        to: EndpointId,
        /// Address on which the node accepts links.
        address: SocketAddr,
        /// Name of this node, to which the loans are sent.
        sender: EndpointId,
        /// The requests.
        requests: Vec<LoanRequest>,
    },
    /// Answer the requests of this node, on the link that they came on, even if nothing is lent: the
    /// answer shows that the link works.
    SendLoans(EndpointId, Vec<Loan>),
    /// Tell the load balancer whether this node accepts new clients.
    SetReady(bool),
    /// End the process.
    Exit,
}
