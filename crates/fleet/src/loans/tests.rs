//! Unit tests of the lender.

use super::*;
use proptest::prelude::*;

const CONFIG: LoanConfig = LoanConfig { controllers: 4, reserve: 0.2 };

fn who(number: u32) -> Incarnation {
    Incarnation { controller: number, incarnation: 1 }
}

/// A loan request of a controller; `until` is the expiry of its lease.
struct Request {
    config: LoanConfig,
    limit: f64,
    controller: u32,
    now: Millis,
    until: Millis,
}

impl Request {
    /// Creates a request for a limit of 100 with a lease of one second.
    fn of(controller: u32, now: Millis) -> Self {
        Self { config: CONFIG, limit: 100.0, controller, now, until: now + 1_000 }
    }

    fn send(self, lender: &mut Lender, usage: UsageReport, last_number: &mut u64) -> Loan {
        let Self { config, limit, controller, now, until } = self;
        let request = LoanRequest { borrower: who(controller), usage, config, limit, now, until };
        lender.report(request, last_number)
    }
}

#[test]
fn a_smaller_loan_frees_nothing_before_the_borrower_has_applied_it() {
    let mut lender = Lender::default();
    let mut next = 0;
    let mut request_loan = |lender: &mut Lender, now: Millis, n, demand, applied_loan| {
        Request::of(n, now).send(lender, UsageReport { demand, in_use: 0.0, applied_loan }, &mut next)
    };
    assert_eq!(CONFIG.reserve_of(100.0), 5.0);
    let first = request_loan(&mut lender, 0, 1, 1_000.0, 0);
    assert_eq!(first.amount, 80.0, "a single borrower gets everything that may be lent");
    assert_eq!(request_loan(&mut lender, 10, 2, 1_000.0, 0).amount, 0.0, "nothing is free");
    let smaller = request_loan(&mut lender, 20, 1, 1_000.0, first.number);
    assert_eq!(smaller.amount, 40.0);
    assert_eq!(
        request_loan(&mut lender, 30, 2, 1_000.0, 2).amount,
        0.0,
        "the first borrower may not have received the smaller loan"
    );
    request_loan(&mut lender, 40, 1, 1_000.0, smaller.number);
    assert_eq!(request_loan(&mut lender, 50, 2, 1_000.0, 4).amount, 40.0);
    assert_eq!(lender.outstanding(60), 80.0);
}

#[test]
fn dead_or_ended_incarnation_returns_its_loans() {
    let mut lender = Lender::default();
    let mut next = 0;
    let mut request_loan = |lender: &mut Lender, now, n| {
        let usage = UsageReport { demand: 1_000.0, in_use: 0.0, applied_loan: 0 };
        Request::of(n, now).send(lender, usage, &mut next).amount
    };
    assert_eq!(request_loan(&mut lender, 0, 1), 80.0);
    assert_eq!((request_loan(&mut lender, 999, 2), request_loan(&mut lender, 1_000, 2)), (0.0, 80.0));
    lender.ended(who(2));
    assert_eq!(
        request_loan(&mut lender, 1_001, 3),
        80.0,
        "an incarnation that ended in order frees its loan at once"
    );
    assert_eq!(lender.borrowers(1_001), 1);
}

#[test]
fn calls_in_flight_count_until_they_have_ended() {
    let (mut lender, mut next) = (Lender::default(), 0);
    let mut report = |lender: &mut Lender, now: Millis, n, in_use, applied_loan| {
        let usage = UsageReport { demand: 1_000.0, in_use, applied_loan };
        Request::of(n, now).send(lender, usage, &mut next).amount
    };
    assert_eq!(report(&mut lender, 0, 1, 0.0, 0), 80.0);
    assert_eq!(report(&mut lender, 10, 2, 0.0, 0), 0.0);
    assert_eq!(report(&mut lender, 20, 1, 85.0, 1), 40.0);
    // The first borrower applies the smaller loan and still has 60 calls in flight.
    report(&mut lender, 30, 1, 60.0, 3);
    assert_eq!(report(&mut lender, 40, 2, 0.0, 2), 25.0, "80 less 55 beyond its reserve");
    report(&mut lender, 50, 1, 30.0, 4);
    assert_eq!(report(&mut lender, 60, 2, 0.0, 5), 40.0);
}

/// The loan that a borrower applies: the last one that it received, until that expires by its own clock.
#[derive(Clone, Copy, Default)]
struct AppliedLoan {
    number: u64,
    amount: f64,
    until: Millis,
}

proptest! {
    #[test]
    fn amounts_in_use_never_exceed_the_limit(
        reserve in 0.0f64..=1.0,
        steps in prop::collection::vec((0u32..6, 0.0f64..3_000.0, 0u64..700, 0u8..4, any::<bool>()), 1..400),
    ) {
        let (config, limit, span) = (LoanConfig { controllers: 6, reserve }, 1_000.0, 2_000);
        let mut lender = Lender::default();
        let mut applied = [AppliedLoan::default(); 6];
        // The number of the loan that each borrower reports as applied, which may be outdated.
        let mut reported = [0u64; 6];
        let (mut now, mut next) = (0, 0);
        for (n, demand, gap, lost, restarts) in steps {
            now += gap;
            // A report may be of any age, or not name a loan at all.
            if restarts {
                reported[n as usize] = applied[n as usize].number;
            }
            let known = if lost == 3 { 0 } else { reported[n as usize] };
            let until = now + span + crate::lease::max_clock_difference(span);
            let usage = UsageReport { demand, in_use: 0.0, applied_loan: known };
            let request = Request { config, limit, controller: n, now, until };
            let loan = request.send(&mut lender, usage, &mut next);
            if lost != 0 {
                let over = crate::lease::expires_at(now, span);
                applied[n as usize] = AppliedLoan { number: loan.number, amount: loan.amount, until: over };
            }
            let used: f64 = applied.iter().filter(|a| now < a.until).map(|a| a.amount).sum();
            prop_assert!(used + 6.0 * config.reserve_of(limit) <= limit + 1e-6, "{used} lent of {limit}");
        }
    }
}

#[test]
fn loans_use_over_nine_tenths_of_a_limit_under_twice_its_demand() {
    for controllers in [2u32, 8, 64, 1_000] {
        let (config, limit) = (LoanConfig { controllers, reserve: 0.2 }, 1_000.0);
        let mut lender = Lender::default();
        let mut loans = vec![Loan { number: 0, amount: 0.0 }; controllers as usize];
        let mut next = 0;
        let weight = |rank: u32| 1.0 / f64::from(rank + 1);
        let all: f64 = (0..controllers).map(weight).sum();
        let (mut passed, mut fixed, mut rounds) = (0.0, 0.0, 0u32);
        for round in 0..160u64 {
            let (mut lent_sum, mut static_sum) = (0.0, 0.0);
            for n in 0..controllers {
                // Demand follows Zipf's law, and the ranks rotate every twenty reports.
                let rank = (n + (round / 20) as u32 * 3) % controllers;
                let demand = 2.0 * limit * weight(rank) / all;
                lent_sum += demand.min(config.reserve_of(limit) + loans[n as usize].amount);
                static_sum += demand.min(limit / f64::from(controllers));
                let at = round * 1_500;
                let usage = UsageReport { demand, in_use: 0.0, applied_loan: loans[n as usize].number };
                let request = Request { config, limit, controller: n, now: at, until: at + 6_060 };
                loans[n as usize] = request.send(&mut lender, usage, &mut next);
            }
            assert!(lent_sum <= limit + 1e-6, "{controllers}: {lent_sum}");
            // The average includes the first rounds and those after a rotation, in which loans lag behind
            // demand.
            (passed, fixed, rounds) = (passed + lent_sum, fixed + static_sum, rounds + 1);
        }
        let (lent, fixed) = (passed / f64::from(rounds) / limit, fixed / f64::from(rounds) / limit);
        println!(
            "{controllers} controllers: {lent:.3} of the limit passes with loans, {fixed:.3} by static division"
        );
        assert!(lent > 0.9 && lent > fixed - 0.02, "{controllers}: {lent} {fixed}");
    }
}
