//! Plots served requests over time.

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use plotters::prelude::*;

use super::plan::{Plan, WARM_UP};
use super::run::Exchange;

const SIZE: (u32, u32) = (900, 420);
const BUCKET_WIDTH: Duration = Duration::from_millis(500);

/// Writes an SVG plot of sent and attained requests per second, with a line at each fault.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn write(
    path: &Path,
    title: &str,
    plan: &Plan,
    exchanges: &[Exchange],
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let sent = per_second(exchanges.iter(), plan);
    let attained = per_second(
        exchanges.iter().filter(|exchange| exchange.attained()),
        plan,
    );
    let max_rate = sent.iter().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..plan.seconds as f64, 0.0..max_rate)?;
    let axes = chart.plotting_area().strip_coord_spec();
    axes.titled(title, ("sans-serif", 16))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("requests per second")
        .draw()?;
    chart.draw_series(AreaSeries::new(attained.clone(), 0.0, GREEN.mix(0.2)))?;
    chart.draw_series(LineSeries::new(sent, &BLACK))?;
    chart.draw_series(LineSeries::new(attained, &GREEN))?;
    for (at, _) in &plan.faults {
        let at = *at as f64 / 1000.0;
        chart.draw_series(LineSeries::new([(at, 0.0), (at, max_rate)], &RED))?;
    }
    area.present()?;
    Ok(())
}

fn per_second<'a>(exchanges: impl Iterator<Item = &'a Exchange>, plan: &Plan) -> Vec<(f64, f64)> {
    let width = BUCKET_WIDTH.as_secs_f64();
    let mut counts = vec![0.0; (plan.seconds as f64 / width) as usize];
    for exchange in exchanges {
        let bucket = ((exchange.arrival.at - WARM_UP).as_secs_f64() / width) as usize;
        if let Some(count) = counts.get_mut(bucket) {
            *count += 1.0 / width;
        }
    }
    let middles = counts.into_iter().enumerate();
    middles
        .map(|(bucket, count)| ((bucket as f64 + 0.5) * width, count))
        .collect()
}
