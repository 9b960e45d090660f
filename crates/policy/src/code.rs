//! Numbered result codes of the errors that the proxy itself reports.
//!
//! The thousands digit is the [`Class`]. The doc comment of each [`Code`] is the text that clients
//! receive. docs/RESULT-CODES.md lists every code with advice.

use displaydoc::Display;

/// What a client may conclude from a result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// The request or the client's connection was at fault; nothing ran.
    Rejected,
    /// The statement had no effect and may be sent again.
    NotRun,
    /// The statement may or may not have run.
    Unknown,
}

/// Result code; its `Display` text is sent to clients.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u16)]
pub enum Code {
    /// message cannot be decoded or is too large
    BadMessage = 1001,
    /// password authentication failed
    BadPassword = 1002,
    /// database or club is not configured
    NoSuchDatabase = 1003,
    /// not supported while connections are shared
    UnsupportedWhenShared = 1004,
    /// session token is not valid
    BadToken = 1005,
    /// value of a session parameter is not valid
    BadParameter = 1006,
    /// answer is larger than the limit
    AnswerTooLarge = 1007,
    /// login took too long
    LoginTimeout = 1008,
    /// node has too many caller connections
    TooManyClients = 1009,
    /// key is not known
    UnknownKey = 1010,
    /// club has too many statements waiting
    QueueFull = 2001,
    /// deadline passed before a connection was free
    QueueTimeout = 2002,
    /// no primary was found before the deadline
    NoPrimary = 2003,
    /// node is shutting down
    Draining = 2004,
    /// owner of the database cannot be reached
    OwnerUnreachable = 2005,
    /// transaction was rolled back
    TransactionLost = 2006,
    /// statement was canceled before it ran
    Canceled = 2007,
    /// no endpoint met the session's floor before the deadline
    NoFreshEndpoint = 2008,
    /// customer is over its limit
    OverLimit = 2009,
    /// cannot be served before its time limit
    Overloaded = 2010,
    /// would be late, as the endpoints have been overloaded for seconds
    Shed = 2011,
    /// write ran but was not confirmed in time
    ConfirmTimeout = 3001,
    /// connection to the endpoint broke while the statement ran
    ConnectionLost = 3002,
    /// primary was replaced while the statement ran
    PrimaryReplaced = 3003,
    /// node that ran the statement was lost
    OwnerLost = 3004,
    /// statement was sent twice
    Duplicate = 3005,
    /// read ran but its answer was too old to use
    AnswerUnusable = 3006,
    /// read was sent and no answer came in time
    AnswerTimeout = 3007,
}

impl Code {
    /// Every code, by ascending number.
    pub const ALL: &'static [Code] = &[
        Code::BadMessage,
        Code::BadPassword,
        Code::NoSuchDatabase,
        Code::UnsupportedWhenShared,
        Code::BadToken,
        Code::BadParameter,
        Code::AnswerTooLarge,
        Code::LoginTimeout,
        Code::TooManyClients,
        Code::UnknownKey,
        Code::QueueFull,
        Code::QueueTimeout,
        Code::NoPrimary,
        Code::Draining,
        Code::OwnerUnreachable,
        Code::TransactionLost,
        Code::Canceled,
        Code::NoFreshEndpoint,
        Code::OverLimit,
        Code::Overloaded,
        Code::Shed,
        Code::ConfirmTimeout,
        Code::ConnectionLost,
        Code::PrimaryReplaced,
        Code::OwnerLost,
        Code::Duplicate,
        Code::AnswerUnusable,
        Code::AnswerTimeout,
    ];

    /// Returns the code's number.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with `number`, or none if there is no such code.
    pub fn from_number(number: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.number() == number)
    }

    /// Returns the class that the number belongs to.
    pub fn class(self) -> Class {
        match self.number() / 1000 {
            1 => Class::Rejected,
            2 => Class::NotRun,
            _ => Class::Unknown,
        }
    }

    /// Returns the SQLSTATE that is sent with the code.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Code::BadMessage => "08P01",
            Code::BadPassword => "28P01",
            Code::NoSuchDatabase => "3D000",
            Code::UnsupportedWhenShared => "0A000",
            Code::BadToken => "28000",
            Code::BadParameter => "22023",
            Code::AnswerTooLarge => "54000",
            Code::LoginTimeout | Code::Draining => "57P01",
            Code::UnknownKey => "28000",
            Code::TooManyClients | Code::QueueFull | Code::OverLimit => "53300",
            Code::QueueTimeout | Code::NoPrimary | Code::NoFreshEndpoint => "57P03",
            Code::OwnerUnreachable | Code::Overloaded | Code::Shed => "57P03",
            Code::TransactionLost => "40001",
            Code::Canceled => "57014",
            Code::ConfirmTimeout | Code::ConnectionLost | Code::PrimaryReplaced => "08007",
            Code::OwnerLost | Code::Duplicate => "08007",
            Code::AnswerUnusable | Code::AnswerTimeout => "08007",
        }
    }
}
