//! Holders of one customer, joined by a queue of delayed messages.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackbend_router::customer::{CustomerName, Limit};
use tamarackbend_router::limit::{Ledger, Loan, RENEWAL_INTERVAL, Rank, Request, Settings, Share};
use tamarackbend_router::message::EndpointId;

pub const START: Duration = Duration::from_secs(50);
pub const REGIONS: usize = 3;
pub const TOLERANCE: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);

/// How holders divide the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    Ledger,
    /// Every region has an equal part of the limit.
    FixedShares,
    /// Every holder has the whole limit.
    FullBuckets,
}

/// Protection that a replay switches off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A borrower extends its loans without an answer of the lender.
    LoansKept,
    /// A bucket is full after a start.
    FullAtStart,
    /// A holder uses its whole base share right after a start.
    WholeShareAtStart,
}

/// Load and failures of a replay; times are seconds since its start.
pub struct Scenario {
    pub name: &'static str,
    pub limit: Limit,
    /// Operations per second that arrive in a region.
    pub demand: fn(f64, usize) -> f64,
    /// Whether messages between two regions are lost.
    pub is_cut: fn(f64, usize, usize) -> bool,
    /// Whether a holder is lost; a holder that returns has restarted.
    pub is_lost: fn(f64, usize) -> bool,
    /// Part of the messages that is lost, and part that is delivered twice.
    pub loss: f64,
    pub duplicates: f64,
    /// Longest delay of a message.
    pub max_delay_ms: u64,
    /// Time from which a new limit reaches the holders, within a second.
    pub lowered: Option<(f64, Limit)>,
    /// Part of the limit that is owned by holders that are not lost.
    pub live_part: f64,
    /// Start and end of the time in which loans have settled.
    pub settled: (f64, f64),
}

impl Scenario {
    pub fn new(name: &'static str, demand: fn(f64, usize) -> f64) -> Scenario {
        Scenario {
            name,
            limit: Limit { rate: 200.0, burst: 100.0 },
            demand,
            is_cut: |_, _, _| false,
            is_lost: |_, _| false,
            loss: 0.0,
            duplicates: 0.0,
            max_delay_ms: 40,
            lowered: None,
            live_part: 1.0,
            settled: (4.0, 20.0),
        }
    }
}

/// Result of a replay.
#[derive(Debug)]
pub struct Outcome {
    /// Operations by which the worst window exceeds what the quota rule allows; negative if none does.
    pub excess: f64,
    /// Admitted part of the smaller of demand and usable limit in the settled time.
    pub admitted_part: f64,
    /// Largest sum of the shares in use, and of the tokens of all buckets less the burst.
    pub max_share: f64,
    pub max_tokens: f64,
}

#[derive(Clone)]
enum Message {
    Request(Request),
    Loan(Loan),
}

struct Holder {
    name: EndpointId,
    region: usize,
    /// None while the holder is lost.
    ledger: Option<Ledger>,
    /// Last loan of each lender.
    loans: HashMap<EndpointId, Loan>,
}

/// Replays a scenario under a rule, with a protection switched off.
pub fn replay(scenario: &Scenario, rule: Rule, fault: Fault) -> Outcome {
    let mut fleet = Fleet::new(scenario, rule, fault);
    let steps = (scenario.settled.1 / STEP.as_secs_f64()) as u32;
    for step in 0..steps {
        fleet.step(STEP * step);
    }
    fleet.outcome()
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    rule: Rule,
    fault: Fault,
    random: ChaCha8Rng,
    customer: CustomerName,
    holders: Vec<Holder>,
    /// Messages in flight by time of arrival and number: sender, receiver, content.
    messages: BTreeMap<(Duration, u64), (usize, usize, Message)>,
    next_message: u64,
    /// Tokens of each holder under the naive rules.
    tokens: Vec<f64>,
    arrived: Vec<f64>,
    admitted: Vec<f64>,
    max_share: f64,
    max_tokens: f64,
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, rule: Rule, fault: Fault) -> Fleet<'a> {
        let holder = |index: usize| Holder {
            name: format!("holder-{index}").into(),
            region: index / 2,
            ledger: None,
            loans: HashMap::new(),
        };
        Fleet {
            scenario,
            rule,
            fault,
            random: ChaCha8Rng::seed_from_u64(1),
            customer: "customer".into(),
            holders: (0..2 * REGIONS).map(holder).collect(),
            messages: BTreeMap::new(),
            next_message: 0,
            tokens: vec![0.0; 2 * REGIONS],
            arrived: Vec::new(),
            admitted: Vec::new(),
            max_share: 0.0,
            max_tokens: f64::MIN,
        }
    }

    fn limit(&self, time: f64, holder: usize) -> Limit {
        let lowered = self.scenario.lowered.filter(|(at, _)| time >= at + holder as f64 * 0.2);
        lowered.map_or(self.scenario.limit, |(_, limit)| limit)
    }

    fn share(&self, holder: usize) -> Share {
        let rank = if holder.is_multiple_of(2) { Rank::First } else { Rank::Second };
        let others = self.holders.iter().map(|other| other.name.clone());
        let others = others.enumerate().filter(|(index, _)| *index != holder);
        Share { rank, others: others.map(|(_, name)| name).collect::<Rc<[EndpointId]>>() }
    }

    fn step(&mut self, elapsed: Duration) {
        let (now, time) = (START + elapsed, elapsed.as_secs_f64());
        for index in 0..self.holders.len() {
            self.update_holder(index, now, time);
        }
        self.deliver(now, time);
        if (elapsed.as_millis()).is_multiple_of(RENEWAL_INTERVAL.as_millis()) {
            self.send_requests(now);
        }
        let (mut arrived, mut admitted) = (0.0, 0.0);
        for region in 0..REGIONS {
            let expected = (self.scenario.demand)(time, region) * STEP.as_secs_f64();
            let arrivals = (expected + self.random.random::<f64>()) as u32;
            let is_first_lost = (self.scenario.is_lost)(time, region * 2);
            for _ in 0..arrivals {
                arrived += 1.0;
                let holder = region * 2 + usize::from(is_first_lost);
                admitted += f64::from(u8::from(self.admit(holder, now)));
            }
        }
        self.arrived.push(arrived);
        self.admitted.push(admitted);
        self.measure(now);
    }

    /// Starts and ends a holder, and applies a new limit.
    fn update_holder(&mut self, index: usize, now: Duration, time: f64) {
        let limit = self.limit(time, index);
        if (self.scenario.is_lost)(time, index) {
            self.holders[index].ledger = None;
            self.tokens[index] = 0.0;
            return;
        }
        let limits = [(self.customer.clone(), limit, Some(self.share(index)))];
        if self.holders[index].ledger.is_none() {
            let ledger =
                Ledger::new(Settings { regions: REGIONS, window: WINDOW, tolerance: TOLERANCE });
            let ledger = self.holders[index].ledger.insert(ledger);
            match self.fault {
                Fault::FullAtStart => {
                    ledger.set_limits(now - Duration::from_secs(20), limits.clone());
                }
                Fault::WholeShareAtStart => {
                    ledger.set_limits(now - Duration::from_secs(2), limits.clone());
                    while ledger.admit(now, &self.customer, 0).is_ok() {}
                }
                Fault::None | Fault::LoansKept => {}
            }
            self.holders[index].loans.clear();
        }
        if let Some(ledger) = &mut self.holders[index].ledger {
            ledger.set_limits(now, limits);
        }
        let (part, burst) = match self.rule {
            Rule::FullBuckets => (1.0, limit.burst),
            _ => (1.0 / REGIONS as f64, (limit.burst / REGIONS as f64).max(1.0)),
        };
        let tokens = self.tokens[index] + limit.rate * part * STEP.as_secs_f64();
        self.tokens[index] = tokens.min(burst);
    }

    fn admit(&mut self, holder: usize, now: Duration) -> bool {
        if self.rule != Rule::Ledger {
            let has_token = self.tokens[holder] >= 1.0;
            self.tokens[holder] -= f64::from(u8::from(has_token));
            return has_token;
        }
        let ledger = self.holders[holder].ledger.as_mut();
        ledger.is_some_and(|ledger| ledger.admit(now, &self.customer, 1).is_ok())
    }

    fn send_requests(&mut self, now: Duration) {
        for from in 0..self.holders.len() {
            let Some(ledger) = &mut self.holders[from].ledger else { continue };
            for (to, request) in ledger.tick(now) {
                let Holder { ledger, loans, .. } = &mut self.holders[from];
                if self.fault == Fault::LoansKept
                    && let (Some(ledger), Some(loan)) = (ledger, loans.get(&to))
                {
                    let extended = Loan { requested_at: request.requested_at, ..loan.clone() };
                    assert!(ledger.on_loan(now, &to, extended));
                }
                let to = self.index(&to);
                self.send(now, from, to, Message::Request(request));
            }
        }
    }

    fn index(&self, name: &EndpointId) -> usize {
        self.holders.iter().position(|holder| holder.name == *name).expect("known holder")
    }

    fn send(&mut self, now: Duration, from: usize, to: usize, message: Message) {
        let is_lost = self.random.random::<f64>() < self.scenario.loss;
        let is_duplicated = self.random.random::<f64>() < self.scenario.duplicates;
        let copies = usize::from(!is_lost) * (1 + usize::from(is_duplicated));
        for _ in 0..copies {
            let delay = self.random.random_range(5..=self.scenario.max_delay_ms);
            let at = now + Duration::from_millis(delay);
            self.next_message += 1;
            self.messages.insert((at, self.next_message), (from, to, message.clone()));
        }
    }

    fn deliver(&mut self, now: Duration, time: f64) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= now
        {
            let (from, to, message) = entry.remove();
            let (from_region, to_region) = (self.holders[from].region, self.holders[to].region);
            if (self.scenario.is_cut)(time, from_region, to_region) {
                continue;
            }
            let from_name = self.holders[from].name.clone();
            let Some(ledger) = &mut self.holders[to].ledger else { continue };
            match message {
                Message::Request(request) => {
                    if let Some(loan) = ledger.on_request(now, &from_name, request) {
                        self.send(now, to, from, Message::Loan(loan));
                    }
                }
                Message::Loan(loan) => {
                    if ledger.on_loan(now, &from_name, loan.clone()) {
                        self.holders[to].loans.insert(from_name, loan);
                    }
                }
            }
        }
    }

    fn measure(&mut self, now: Duration) {
        let ledgers = self.holders.iter_mut().filter_map(|holder| holder.ledger.as_mut());
        let summaries = ledgers.filter_map(|ledger| ledger.summary(now, &self.customer));
        let (mut share, mut tokens) = (0.0, 0.0);
        for summary in summaries {
            share += summary.share;
            tokens += summary.tokens;
        }
        self.max_share = self.max_share.max(share);
        self.max_tokens = self.max_tokens.max(tokens - self.scenario.limit.burst);
    }

    fn outcome(&self) -> Outcome {
        let scenario = self.scenario;
        let steps = WINDOW.div_duration_f64(STEP) as usize;
        // Windows that start before the new limit has reached all holders may use the former one.
        let lowered_at = scenario.lowered.map(|(at, limit)| (at + 0.2 * 6.0, limit));
        let excess = self.admitted.windows(steps).enumerate().map(|(start, window)| {
            let time = start as f64 * STEP.as_secs_f64();
            let lowered = lowered_at.filter(|(at, _)| time >= *at);
            let limit = lowered.map_or(scenario.limit, |(_, limit)| limit);
            let allowed = (limit.rate * WINDOW.as_secs_f64() + limit.burst) * 1.1 + TOLERANCE;
            window.iter().sum::<f64>() - allowed
        });
        let (from, to) = scenario.settled;
        let settled = (from / STEP.as_secs_f64()) as usize..;
        let limit = self.limit(to, REGIONS * 2);
        let arrived: f64 = self.arrived[settled.clone()].iter().sum();
        let admitted: f64 = self.admitted[settled].iter().sum();
        Outcome {
            excess: excess.fold(f64::MIN, f64::max),
            admitted_part: admitted / arrived.min(limit.rate * scenario.live_part * (to - from)),
            max_share: self.max_share,
            max_tokens: self.max_tokens,
        }
    }
}
