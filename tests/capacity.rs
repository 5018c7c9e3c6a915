//! Fits of lines through measured points (`zinniaport bench capacity`).

use zinniaport::bench::{LineFit, SlopePoint, SlopeRow, SlopeSubject};
use zinniaport_testing::test_cases;

fn points(values: [(usize, f64); 3]) -> Vec<SlopePoint> {
    values.into_iter().map(|(size, value)| SlopePoint::new(size, vec![value])).collect()
}

test_cases! {
    exact_line_is_found: "a fit that is biased towards the smallest or largest size" => {
        let fit = LineFit::new(&points([(35, 95.0), (350, 725.0), (4_100, 8_225.0)]));
        assert!((fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
        assert!((fit.intercept - 25.0).abs() < 1e-6, "{fit:?}");
        assert!(fit.residual_percent < 1e-6, "{fit:?}");
    }

    curvature_shows_as_residual: "a quadratic cost reported as linear without a large residual" => {
        let fit = LineFit::new(&points([(0, 0.0), (10, 100.0), (20, 400.0)]));
        assert!((fit.slope - 20.0).abs() < 1e-9, "{fit:?}");
        assert!((fit.residual_percent - 100.0 * (200.0 / 3.0) / 400.0).abs() < 1e-6, "{fit:?}");
    }

    single_size_has_zero_slope: "a division by zero when all points have the same size" => {
        let fit = LineFit::new(&points([(7, 3.0), (7, 3.0), (7, 3.0)]));
        assert_eq!((fit.intercept, fit.slope), (3.0, 0.0));
    }

    spread_of_rounds_is_kept: "a report that drops the spread of the rounds" => {
        let subject = SlopeSubject { quantity: "cost", unit: "us", size: "targets" };
        let mut rounds = [5.0, 1.0, 3.0].into_iter();
        let row = SlopeRow::measure(subject, &[35], 3, |_| rounds.next().unwrap());
        let point = row.points[0];
        assert_eq!((point.least, point.median, point.most), (1.0, 3.0, 5.0));
    }
}
