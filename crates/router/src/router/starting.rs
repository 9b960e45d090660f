//! Start of sessions.
//!
//! A session is accepted once the node knows who serves it: this node, if the configuration names the
//! database and the client's key is known, or another node. Statements that arrive before that wait, and
//! are dropped with the session if it is rejected.

use tamarackbend_policy::code::Code;

use super::{Action, Introduction, Router};
use crate::customer::{CustomerName, KeyDigest};
use crate::message::{Answer, Fault, Outcome, SessionId, Time, TransactionState};
use crate::settings::{BALANCER_DRAIN_TIME, SESSION_START_TIMEOUT};

/// How long a session for an unknown database or key waits for the read of a newer configuration.
const CONFIGURATION_WAIT: Time = Time::from_millis(400);
/// How long such a session waits for the watch of the configuration to report a change that has just
/// been made, if the configuration was read lately.
const WATCH_DELAY: Time = Time::from_millis(60);
/// Age up to which the last read of the configuration shows that a database or key does not exist. A
/// watch that was lost unnoticed hides a new database for this long at most, which is less than
/// configurations may take to be in force.
const MAX_CONFIGURATION_AGE: Time = Time::from_secs(2);
/// Minimum time between two requests for the configuration that unknown databases cause.
const MIN_REFRESH_INTERVAL: Time = Time::from_millis(200);

/// Whether this node's configuration allows it to serve a session.
enum Verdict {
    /// Serves the session, for the customer if clients are identified.
    Serve(Option<CustomerName>),
    /// Other nodes serve the customer.
    Misrouted(CustomerName),
    /// Refuses the session, unless a newer configuration allows it.
    Refuse(Fault, Code),
}

impl Router {
    pub(super) fn start_session(
        &mut self,
        id: SessionId,
        database: String,
        key: Option<KeyDigest>,
    ) {
        let now = self.now;
        let key = key.filter(|_| self.settings.has_customers);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.requested_at = now;
        if session.database.is_some() {
            self.reject_session(id, Fault::Malformed, Code::BadMessage);
            return;
        }
        session.database = Some(database.clone());
        session.key = key;
        if self.stopping_since.is_some_and(|since| now >= since + BALANCER_DRAIN_TIME) {
            self.reject_session(id, Fault::Busy, Code::Draining);
            return;
        }
        if self.is_served_elsewhere(id) {
            self.start_remote_session(id, &database);
            return;
        }
        if self.is_role_undecided() {
            self.starting_sessions.push((id, now));
            return;
        }
        if self.substitutes_for(&database) {
            self.keep_remote_group(&database);
        }
        if !matches!(self.verdict(id), Verdict::Refuse(..)) {
            self.conclude_start(id);
            return;
        }
        // A configuration that the operator has just applied may name the database or the key.
        self.starting_sessions.push((id, now));
        let may_request = self.refreshed_at.is_none_or(|at| now >= at + MIN_REFRESH_INTERVAL);
        if self.configuration.is_some()
            && may_request
            && (!self.is_configuration_recent(now) || self.is_outdated_for(id))
        {
            self.refreshed_at = Some(now);
            self.actions.push(Action::RefreshConfiguration);
        }
    }

    /// Accepts or rejects the sessions that wait for their database or key to become known.
    ///
    /// `is_fresh` is set when a newer configuration has just been read.
    pub(super) fn resolve_starting_sessions(&mut self, is_fresh: bool) {
        for (id, started_at) in std::mem::take(&mut self.starting_sessions) {
            let Some(session) = self.sessions.get(&id) else { continue };
            let database = session.database.clone().unwrap_or_default();
            if self.is_role_undecided() && self.now < started_at + SESSION_START_TIMEOUT {
                self.starting_sessions.push((id, started_at));
            } else if self.is_served_elsewhere(id) {
                self.start_remote_session(id, &database);
            } else if !matches!(self.verdict(id), Verdict::Refuse(..)) {
                self.conclude_start(id);
            } else if self.configuration.is_none() {
                match self.now >= started_at + SESSION_START_TIMEOUT {
                    true => self.reject_session(id, Fault::Busy, Code::OwnerUnreachable),
                    false => self.starting_sessions.push((id, started_at)),
                }
            } else if self.now >= started_at + CONFIGURATION_WAIT
                || (!self.is_outdated_for(id)
                    && ((is_fresh && self.now > started_at)
                        || (self.is_configuration_recent(started_at)
                            && self.now >= started_at + WATCH_DELAY)))
            {
                self.conclude_start(id);
            } else {
                self.starting_sessions.push((id, started_at));
            }
        }
    }

    /// Accepts or rejects a session according to the present configuration.
    fn conclude_start(&mut self, id: SessionId) {
        match self.verdict(id) {
            Verdict::Serve(customer) => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.customer = customer;
                }
                self.accept_session(id);
            }
            Verdict::Misrouted(customer) => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.customer = Some(customer);
                }
                self.reject_session(id, Fault::Misrouted, Code::OwnerUnreachable);
            }
            Verdict::Refuse(fault, code) => self.reject_session(id, fault, code),
        }
    }

    fn verdict(&self, id: SessionId) -> Verdict {
        let Some(session) = self.sessions.get(&id) else {
            return Verdict::Refuse(Fault::Busy, Code::OwnerUnreachable);
        };
        let route = session.database.as_deref().and_then(|database| self.route(database));
        if self.is_outdated_for(id) {
            return Verdict::Refuse(Fault::Busy, Code::OwnerUnreachable);
        }
        let Some(route) = route else {
            return Verdict::Refuse(Fault::NoDatabase, Code::NoSuchDatabase);
        };
        let identifies_clients = self
            .configuration
            .as_ref()
            .is_some_and(|configuration| configuration.customers.is_some());
        if !self.settings.has_customers || !identifies_clients {
            return Verdict::Serve(None);
        }
        match session.key.and_then(|key| self.identify(&key)) {
            Some(customer)
                if session.is_channel
                    && session.introduction.customer.as_ref() != Some(&customer)
                    && !self.is_pooler_of(&customer) =>
            {
                Verdict::Misrouted(customer)
            }
            Some(customer) => Verdict::Serve(Some(customer)),
            None if route.is_public => Verdict::Serve(None),
            None => Verdict::Refuse(Fault::Unauthorized, Code::UnknownKey),
        }
    }

    /// Returns whether the node that opened a channel was told of a newer configuration than this
    /// node's.
    fn is_outdated_for(&self, id: SessionId) -> bool {
        let min_version = self.sessions.get(&id).map_or(0, |session| session.introduction.version);
        min_version > self.configuration_version()
    }

    /// Returns whether other nodes serve a session that starts at this node.
    fn is_served_elsewhere(&self, id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        match self.is_pooler {
            Some(false) => {
                !self.is_substitute
                    || !self.substitutes_for(session.database.as_deref().unwrap_or_default())
            }
            Some(true) if session.is_channel => false,
            Some(true) if self.settings.has_customers => {
                let customer = session.key.and_then(|key| self.identify(&key));
                customer.is_some_and(|customer| !self.serves_customer(&customer))
            }
            Some(true) => !self.serves_clients_of(session.database.as_deref().unwrap_or_default()),
            None => false,
        }
    }

    /// Returns whether the configuration that the node has at `time` was read shortly before.
    fn is_configuration_recent(&self, time: Time) -> bool {
        self.configuration_read_at
            .is_some_and(|read_at| read_at <= time && time < read_at + MAX_CONFIGURATION_AGE)
    }

    pub(super) fn accept_session(&mut self, id: SessionId) {
        let now = self.now;
        self.introduce(id);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_accepted = true;
            session.accepted_at = now;
            if !session.backlog.is_empty() {
                self.answered_sessions.push(id);
            }
            self.actions.push(Action::AcceptSession(id));
        }
    }

    pub(super) fn reject_session(&mut self, id: SessionId, fault: Fault, code: Code) {
        self.introduce(id);
        let outcome = Outcome::refusal(fault, code, None);
        let answer = Answer {
            rows: Vec::new(),
            outcome,
            state: TransactionState::Idle,
            position: None,
            status: None,
        };
        self.close_session(id);
        self.actions.push(Action::RejectSession(id, answer));
    }

    /// Reports this node's configuration and the customer to the node that opened a channel.
    fn introduce(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id).filter(|session| session.is_channel) else {
            return;
        };
        let customer = session.customer.clone();
        let introduction = Introduction { version: self.configuration_version(), customer };
        self.actions.push(Action::Introduce(id, introduction));
    }

    /// Returns the version of the configuration; zero if there is none.
    pub(super) fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }
}
