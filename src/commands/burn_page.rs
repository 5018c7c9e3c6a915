//! A self-contained HTML page with the burn rates of all kinds as a chart and a table.

use plotters::coord::Shift;
use plotters::prelude::*;
use zinniaport_core::burn::{BURN_WINDOWS, BurnReport};

/// Width and height of the chart, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);

/// Colour of each burn window, the shortest window first.
const WINDOW_COLOURS: [RGBColor; BURN_WINDOWS.len()] =
    [RGBColor(200, 80, 40), RGBColor(210, 160, 40), RGBColor(60, 110, 170)];

/// Renders the page.
///
/// # Errors
///
/// Returns the error of the chart library if the chart cannot be drawn.
pub fn burn_page(report: &BurnReport) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        draw_chart(report, &area).map_err(|error| error.to_string())?;
    }
    let rows: String = report
        .kinds
        .iter()
        .flat_map(|kind| kind.windows.iter().map(move |window| (kind, window)))
        .map(|(kind, window)| {
            format!(
                "<tr><td>{}</td><td>{}</td><td>{} %</td><td>{}</td><td>{}</td><td>{}</td>\
                 <td>{:.2}</td><td>{:.0} %</td></tr>\n",
                kind.service,
                kind.kind,
                kind.objective_percent,
                window.window,
                window.requests,
                window.failed,
                window.burn_rate,
                window.budget_left_percent
            )
        })
        .collect();
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level \
         burn</title><style>body{{font-family:sans-serif}}td,th{{padding:2px 8px;text-align:left}}\
         </style></head><body>\n<h1>Service-level burn</h1>\n{svg}\n<table><tr><th>service</th>\
         <th>kind</th><th>objective</th><th>window</th><th>requests</th><th>failed</th>\
         <th>burn rate</th><th>budget left</th></tr>\n{rows}</table>\n</body></html>\n"
    ))
}

/// Draws a group of bars for each kind, with one bar for each burn window.
fn draw_chart<B: DrawingBackend>(
    report: &BurnReport,
    area: &DrawingArea<B, Shift>,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    let labels: Vec<_> =
        report.kinds.iter().map(|kind| format!("{}/{}", kind.service, kind.kind)).collect();
    let rates = report.kinds.iter().flat_map(|kind| &kind.windows).map(|window| window.burn_rate);
    let highest = rates.fold(1.0, f64::max) * 1.1;
    area.fill(&WHITE)?;
    let groups = labels.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("burn rate by kind; above 1 the objective is missed", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..groups, 0.0..highest)?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).y_desc("burn rate").draw()?;
    for (position, (window, colour)) in BURN_WINDOWS.iter().zip(WINDOW_COLOURS).enumerate() {
        let bars = report.kinds.iter().enumerate().filter_map(|(group, kind)| {
            let left = group as f64 + 0.1 + 0.26 * position as f64;
            let rate = kind.windows.get(position)?.burn_rate;
            Some(Rectangle::new([(left, 0.0), (left + 0.24, rate)], colour.filled()))
        });
        chart
            .draw_series(bars)?
            .label(window.name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    let objective = [(0.0, 1.0), (groups, 1.0)];
    chart.draw_series(LineSeries::new(objective, BLACK.stroke_width(1)))?;
    chart.draw_series(labels.iter().enumerate().map(|(group, label)| {
        // Staggers the labels, because long names of adjacent groups would overlap.
        let height = highest * (0.97 - 0.05 * (group % 4) as f64);
        Text::new(label.clone(), (group as f64 + 0.1, height), ("sans-serif", 12))
    }))?;
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()
}
