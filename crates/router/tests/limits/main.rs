//! Limits of a customer over holders in three regions, replayed with load patterns and failures, and
//! compared with two rules that need no messages.

mod fleet;

use std::time::Duration;

use fleet::{Fault, Outcome, Rule, START, Scenario, TOLERANCE, replay};
use tamarackbend_router::customer::{CustomerName, Limit};
use tamarackbend_router::limit::{Ledger, Loan, Rank, Settings, Share};

/// Usual demand of a region: the limit of 200/s is 1.6 times the demand of three regions.
const USUAL: f64 = 200.0 / 1.6 / 3.0;

/// Returns the demand of a customer of which region 0 sends 7.5 times its usual load.
fn hot_region(_: f64, region: usize) -> f64 {
    if region == 0 { USUAL * 7.5 } else { USUAL }
}

fn hot_everywhere(_: f64, _: usize) -> f64 {
    USUAL * 7.5
}

fn scenarios() -> Vec<Scenario> {
    let small = Limit { rate: 8.0, burst: 8.0 };
    vec![
        Scenario::new("usual demand", |_, _| USUAL),
        Scenario::new("7.5 times the usual, one region", hot_region),
        Scenario::new("7.5 times the usual, everywhere", hot_everywhere),
        Scenario {
            limit: small,
            settled: (4.0, 304.0),
            ..Scenario::new("small customer", |_, _| 5.0 / 3.0)
        },
        Scenario {
            limit: small,
            settled: (4.0, 304.0),
            ..Scenario::new(
                "small customer, one region",
                |_, region| {
                    if region == 1 { 7.0 } else { 0.0 }
                },
            )
        },
        Scenario {
            settled: (13.0, 30.0),
            ..Scenario::new("demand moves in a second", |time, region| {
                let moved = (time - 9.0).clamp(0.0, 1.0);
                150.0 * [1.0 - moved, moved, 0.0][region]
            })
        },
        Scenario {
            is_cut: |time, from, to| (8.0..20.0).contains(&time) && (from == 0) != (to == 0),
            settled: (23.0, 35.0),
            ..Scenario::new("two halves for 12 s", |time, region| {
                if region == 0 || time >= 8.5 { USUAL * 7.5 } else { 0.0 }
            })
        },
        Scenario {
            is_lost: |time, holder| time >= 8.0 && holder == 0,
            live_part: 1.0 - 0.8 / 3.0,
            settled: (11.0, 30.0),
            ..Scenario::new("holder lost", hot_region)
        },
        Scenario {
            limit: Limit { rate: 200.0, burst: 800.0 },
            is_lost: |time, _| (8.0..8.6).contains(&time),
            settled: (11.6, 30.0),
            ..Scenario::new(
                "all restarted",
                |time, _| {
                    if time >= 6.5 { USUAL * 7.5 } else { USUAL }
                },
            )
        },
        Scenario {
            limit: Limit { rate: 200.0, burst: 800.0 },
            is_lost: |time, _| (7.0..12.0).contains(&time) && (time * 2.0).fract() < 0.2,
            settled: (16.0, 30.0),
            ..Scenario::new("all restarted repeatedly", |time, _| {
                if time >= 6.5 { USUAL * 7.5 } else { USUAL }
            })
        },
        Scenario {
            limit: Limit { rate: 200.0, burst: 2.0 },
            is_lost: |time, holder| (8.0..8.1).contains(&time) && holder != 0,
            settled: (13.0, 30.0),
            ..Scenario::new("lenders restarted", |time, region| {
                if region == 0 || time >= 8.0 { 300.0 } else { 0.0 }
            })
        },
        Scenario {
            loss: 0.1,
            duplicates: 0.1,
            max_delay_ms: 400,
            settled: (8.0, 40.0),
            ..Scenario::new("messages lost, late and twice", hot_region)
        },
        Scenario {
            lowered: Some((8.0, Limit { rate: 20.0, burst: 10.0 })),
            settled: (13.0, 30.0),
            ..Scenario::new("limit lowered to a tenth", hot_region)
        },
    ]
}

fn scenario(name: &str) -> Scenario {
    scenarios().into_iter().find(|scenario| scenario.name == name).expect("scenario")
}

/// Guards against more operations than the quota rule allows in any window, and against refusals below
/// the limit once loans have settled.
#[test]
fn loans_keep_the_limit_and_use_it() {
    let mut table = Vec::new();
    for scenario in scenarios() {
        let outcomes = [Rule::Ledger, Rule::FixedShares, Rule::FullBuckets]
            .map(|rule| replay(&scenario, rule, Fault::None));
        let figures = outcomes.each_ref().map(|Outcome { excess, admitted_part, .. }| {
            format!("{:>6.0} {:>5.1}%", excess, admitted_part * 100.0)
        });
        table.push(format!("{:<32} {}", scenario.name, figures.join(" | ")));
        let [ledger, ..] = outcomes;
        assert!(ledger.excess <= 0.0, "{}: {ledger:?}", scenario.name);
        assert!(ledger.admitted_part >= 0.95, "{}: {ledger:?}", scenario.name);
    }
    insta::assert_snapshot!(table.join("\n"), @r"
    usual demand                       -562 100.0% |   -562 100.0% |   -562 100.0%
    7.5 times the usual, one region    -191 100.0% |   -458  74.3% |    208 141.0%
    7.5 times the usual, everywhere    -154 107.5% |   -228 100.0% |   1770 300.0%
    small customer                      -32  96.0% |    -37  92.7% |    -29 100.0%
    small customer, one region          -25  98.8% |    -58  37.6% |    -27  99.0%
    demand moves in a second           -461  99.8% |   -828  44.4% |   -456 100.0%
    two halves for 12 s                -151 107.5% |   -165 100.0% |   1966 300.0%
    holder lost                        -278 100.4% |   -426 101.3% |    301 192.2%
    all restarted                      -400 159.8% |   -648 100.0% |   1153 300.0%
    all restarted repeatedly           -400 159.8% |   -851 100.0% |   1000 300.0%
    lenders restarted                   -86 100.0% |   -372  75.0% |   1878 300.0%
    messages lost, late and twice      -191 101.2% |   -458  74.0% |    208 140.7%
    limit lowered to a tenth            -39 100.3% |    -39 100.0% |    202 300.6%
    ");
}

/// Guards against shares that sum to more than the limit, and against tokens that lender and borrower
/// both hold, when messages arrive after loans have expired. Restarts, which forget loans, are only
/// checked for the quota rule.
#[test]
fn shares_and_tokens_never_exceed_the_limit() {
    let late = scenarios().into_iter().map(|scenario| Scenario {
        loss: 0.3,
        duplicates: 0.3,
        max_delay_ms: 3000,
        ..scenario
    });
    for scenario in scenarios().into_iter().chain(late) {
        let outcome = replay(&scenario, Rule::Ledger, Fault::None);
        assert!(outcome.excess <= 0.0, "{}: {outcome:?}", scenario.name);
        if !scenario.name.contains("restarted") {
            assert!(outcome.max_share <= 1.0 + 1e-9, "{}: {outcome:?}", scenario.name);
            assert!(outcome.max_tokens <= TOLERANCE / 2.0 + 1e-9, "{}: {outcome:?}", scenario.name);
        }
    }
}

/// Guards against a replay that would not notice a protection that is missing.
#[test]
fn each_protection_is_needed() {
    for (name, fault) in [
        ("two halves for 12 s", Fault::LoansKept),
        ("all restarted repeatedly", Fault::FullAtStart),
        ("lenders restarted", Fault::WholeShareAtStart),
    ] {
        let outcome = replay(&scenario(name), Rule::Ledger, fault);
        assert!(outcome.excess > 0.0, "{name} without {fault:?}: {outcome:?}");
    }
}

/// Returns a ledger of the first holder of these customers, with a limit of 10/s and a burst of 10.
fn ledger(customers: impl IntoIterator<Item = (CustomerName, Option<Share>)>) -> Ledger {
    let settings = Settings { regions: 3, window: Duration::from_secs(5), tolerance: TOLERANCE };
    let mut ledger = Ledger::new(settings);
    let limit = Limit { rate: 10.0, burst: 10.0 };
    ledger.set_limits(START, customers.into_iter().map(|(name, share)| (name, limit, share)));
    ledger
}

fn share() -> Option<Share> {
    Some(Share { rank: Rank::First, others: ["other".into()].into() })
}

/// Guards against work for customers that send nothing, and against loans that nobody needs.
#[test]
fn tick_visits_active_customers_only() {
    let names = (0..5000).map(|index| CustomerName::from(format!("customer-{index}")));
    let mut ledger = ledger(names.map(|name| (name, share())));
    let [low, high] = ["customer-1", "customer-2"].map(CustomerName::from);
    let filled_at = START + Duration::from_secs(10);
    assert!(ledger.admit(filled_at, &low, 0).is_ok());
    let results = (0..20).map(|key| ledger.admit(filled_at, &high, key));
    assert!(results.filter(|result| result.is_err()).count() > 10);
    let requests = ledger.tick(filled_at);
    assert!(requests.iter().all(|(_, request)| request.customer == high), "{requests:?}");
    assert_eq!(requests.len(), 1);
    assert_eq!(ledger.active().collect::<Vec<_>>(), [&low, &high]);
    assert_eq!(ledger.tick(filled_at + Duration::from_secs(6)), []);
    assert_eq!(ledger.active().count(), 0);
}

/// Guards against loans of an earlier process of the borrower, whose age is not known.
#[test]
fn loans_that_were_not_requested_are_ignored() {
    let customer = CustomerName::from("customer");
    let mut ledger = ledger([(customer.clone(), share())]);
    for requested_at in [START - Duration::from_secs(1), START, START + Duration::from_secs(60)] {
        let loan = Loan { customer: customer.clone(), share: 0.5, requested_at };
        assert!(!ledger.on_loan(START, &"other".into(), loan));
    }
    assert_eq!(ledger.summary(START, &customer).map(|summary| summary.taken), Some(0.0));
}

/// Guards against refused operations that all return at once, and against operations that a node
/// without a share admits.
#[test]
fn refused_operations_return_spread() {
    let [held, other] = ["held", "other"].map(CustomerName::from);
    let mut ledger = ledger([(held.clone(), share()), (other.clone(), None)]);
    for customer in [&held, &other] {
        let mut refuse = |key| ledger.admit(START, customer, key).expect_err("no tokens");
        for key in 0..10 {
            refuse(key);
        }
        let [first, middle, last] = [0, u64::MAX / 2, u64::MAX].map(refuse);
        assert!(first >= Duration::from_millis(500), "{first:?}");
        assert!(middle >= first + Duration::from_millis(500), "{first:?} {middle:?}");
        assert!(last >= middle + Duration::from_millis(500), "{middle:?} {last:?}");
    }
    assert_eq!(ledger.admit(START, &"unlimited".into(), 0), Ok(()));
}
