//! Orders of admission compared under the same offered load, in simulated time.

mod overload_trial;

use overload_trial::{
    KindLoad, OrderName, POLLED, PORTAL, PREVIEWED, TrialInput, TrialResult, run_trial,
};
use strum::IntoEnumIterator;
use zinniaport_testing::test_cases;

/// Prints a row of the table in `docs/design/admission-order.md`.
fn print_row(title: &str, kinds: &[KindLoad], load: f64, order: OrderName, result: &TrialResult) {
    let percent = |share: f64| format!("{:.0}", share * 100.0);
    let by_kind: Vec<_> = kinds
        .iter()
        .zip(&result.kinds)
        .map(|(kind, counts)| {
            format!(
                "{} {}/{}",
                kind.name,
                percent(counts.in_time_share()),
                percent(counts.served_share())
            )
        })
        .collect();
    let tenant = result
        .tenants
        .iter()
        .filter(|counts| counts.sent >= 15.0)
        .map(|counts| counts.served_share())
        .fold(f64::INFINITY, f64::min);
    let again: f64 =
        result.kinds.iter().map(|counts| counts.refused_again).sum::<f64>() / result.all.sent;
    println!(
        "| {title} | {load} | {order} | {:.3} | {} | {} | {} | {} | {} |",
        result.value,
        percent(result.all.in_time_share()),
        percent(result.all.served_share()),
        by_kind.join(", "),
        percent(tenant / result.all.served_share()),
        percent(again),
    );
}

test_cases! {
    table: "nothing yet" => {
        for (title, kinds, tenants, burst) in [
            ("portal", &PORTAL[..], 82, 1.0), ("portal, burst", &PORTAL[..], 82, 7.5),
            ("polled", &POLLED[..], 0, 1.0), ("previewed", &PREVIEWED[..], 0, 1.0),
        ] {
            for load in [1.5, 2.0, 2.5] {
                if burst > 1.0 && load > 1.5 { continue }
                for order in OrderName::iter() {
                    let result = run_trial(&TrialInput { kinds, order, load, tenants, burst });
                    print_row(title, kinds, load, order, &result);
                }
            }
        }
    }
}
