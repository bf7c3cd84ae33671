//! Reports: results as a document that can be kept, and that document as one HTML page with plots in it.
//!
//! The page needs nothing beside itself: plots are SVG in its text. Lots of runs (policies, or one policy
//! before and after a change) stand side by side in one colour each.

use std::fmt::Write;

use plotters::coord::Shift;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};

use crate::runs::{Figure, Mean, Run};
use crate::scenario::{Scenario, What};
use crate::stats::Summary;

/// All that runs of one scenario came to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Document {
    pub scenario: String,
    pub about: String,
    pub tenants: Vec<String>,
    /// What goes wrong, and from when to when (s).
    pub faults: Vec<Span>,
    pub lots: Vec<Lot>,
    /// Further plots of whoever played it.
    #[serde(default)]
    pub plots: Vec<Plot>,
}

/// Lines over time (s), each with its label.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plot {
    pub caption: String,
    pub unit: String,
    pub lines: Vec<(String, Vec<(f64, f64)>)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Span {
    pub name: String,
    pub from_s: f64,
    pub to_s: f64,
}

/// Runs that belong together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lot {
    pub label: String,
    pub runs: Vec<Entry>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    pub seed: u64,
    pub digest: String,
    pub rules_broken: u64,
    pub findings: Vec<String>,
    pub summary: Summary,
}

impl Document {
    pub fn new(scenario: &Scenario) -> Document {
        let span = |fault: &crate::scenario::Fault| Span {
            name: name(&fault.what).to_owned(),
            from_s: fault.at_s.0,
            to_s: fault.at_s.0 + fault.for_s.0,
        };
        Document {
            scenario: scenario.name.clone(),
            about: scenario.about.clone(),
            tenants: scenario.tenants.iter().map(|t| t.name.clone()).collect(),
            faults: scenario.faults.iter().map(span).collect(),
            lots: Vec::new(),
            plots: Vec::new(),
        }
    }

    pub fn add(&mut self, label: String, runs: &[Run]) {
        let entry = |run: &Run| Entry {
            seed: run.seed,
            digest: format!("{:016x}", run.digest),
            rules_broken: run.verdict.broken(),
            findings: run.verdict.findings.iter().map(ToString::to_string).collect(),
            summary: run.summary.clone(),
        };
        self.lots.push(Lot { label, runs: runs.iter().map(entry).collect() });
    }
}

fn name(what: &What) -> &'static str {
    match what {
        What::Hang => "hang",
        What::StandStill { .. } => "stand-still",
        What::Neighbour { .. } => "neighbour",
        What::LateReports { .. } => "late reports",
        What::Resets { .. } => "resets",
        What::Vanish => "vanish",
        What::RackLost => "rack lost",
        What::RollingRestart { .. } => "rolling restart",
        What::Replace => "replace",
        What::Partition { .. } => "partition",
        What::KillScheduler => "scheduler killed",
        What::RestartScheduler => "scheduler restart",
        What::DiscoveryDown => "discovery down",
        What::DiscoveryStale => "discovery stale",
    }
}

/// A figure of a second, averaged over a lot's runs.
fn by_second(lot: &Lot, of: impl Fn(&crate::stats::Second) -> Option<f64>) -> Vec<(f64, f64)> {
    let length = lot.runs.iter().map(|run| run.summary.seconds.len()).max().unwrap_or(0);
    let mean = |second: usize| {
        let seen = lot.runs.iter().filter_map(|run| of(run.summary.seconds.get(second)?));
        let (sum, count) = seen.fold((0.0, 0), |(sum, count), x| (sum + x, count + 1));
        (count > 0).then(|| (second as f64 + 0.5, sum / f64::from(count)))
    };
    (0..length).filter_map(mean).collect()
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), Box<dyn std::error::Error>>;

const SIZE: (u32, u32) = (760, 260);
const FONT: (&str, u32) = ("sans-serif", 12);

fn svg(draw: impl FnOnce(&Area<'_>) -> Drawn) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        draw(&area).map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(text)
}

fn colour(index: usize) -> PaletteColor<Palette99> {
    Palette99::pick(index)
}

/// Lines over time, one for each lot, with the spans of faults shaded.
fn over_time(document: &Document, unit: &str, lines: &[Vec<(f64, f64)>]) -> Result<String, String> {
    let points = lines.iter().flatten();
    let (right, top) = points.fold((1.0f64, 1e-9f64), |(x, y), point| (x.max(point.0 + 0.5), y.max(point.1)));
    svg(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
        for span in &document.faults {
            // What lasts no time is a line.
            let to = span.to_s.max(span.from_s + right / 400.0).min(right);
            let shade = RGBColor(230, 120, 90).mix(0.15).filled();
            chart.draw_series([Rectangle::new([(span.from_s, 0.0), (to, top * 1.05)], shade)])?;
        }
        chart.configure_mesh().light_line_style(WHITE).x_desc("s").y_desc(unit).label_style(FONT).draw()?;
        for (index, line) in lines.iter().enumerate() {
            chart.draw_series(LineSeries::new(line.iter().copied(), colour(index).stroke_width(2)))?;
        }
        Ok(())
    })
}

/// Bars of each tenant's part, the lots beside each other.
fn by_tenant(document: &Document) -> Result<String, String> {
    let tenants = document.tenants.len().max(1);
    let lots = document.lots.len().max(1);
    let names = document.tenants.clone();
    svg(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..tenants as f64, 0.0..1.05)?;
        let name = |x: &f64| {
            let middle = (x.fract() - 0.5).abs() < 0.01;
            names.get(*x as usize).filter(|_| middle).cloned().unwrap_or_default()
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(WHITE)
            .x_labels(2 * tenants + 1)
            .x_label_formatter(&name)
            .y_desc("within share, in time")
            .label_style(FONT)
            .draw()?;
        for (index, lot) in document.lots.iter().enumerate() {
            let width = 0.8 / lots as f64;
            let bars = (0..tenants).map(|tenant| {
                let seen = lot.runs.iter().filter_map(|run| run.summary.tenants.get(tenant).copied());
                let mean = Mean::of(&seen.collect::<Vec<_>>()).mean;
                let left = tenant as f64 + 0.1 + index as f64 * width;
                Rectangle::new([(left, 0.0), (left + width * 0.9, mean)], colour(index).filled())
            });
            chart.draw_series(bars)?;
        }
        Ok(())
    })
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// One page with all that a document says.
pub fn html(document: &Document) -> Result<String, String> {
    let mut page = String::new();
    let title = escape(&document.scenario);
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>\
         body{{font:14px sans-serif;max-width:1580px;margin:1em auto;padding:0 1em;color:#222}}\
         table{{border-collapse:collapse}}td,th{{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}}\
         td:first-child,th:first-child{{text-align:left}}.plots{{display:flex;flex-wrap:wrap;gap:1em}}\
         figure{{margin:0}}figcaption{{font-weight:bold}}pre{{overflow:auto;background:#f6f6f6;padding:.7em}}\
         i{{display:inline-block;width:.9em;height:.9em;margin-right:.4em;vertical-align:-.1em}}</style>\
         <h1>{title}</h1><p>{}</p>",
        escape(&document.about)
    );
    if !document.faults.is_empty() {
        let one = |span: &Span| format!("{} {:.1} to {:.1} s", span.name, span.from_s, span.to_s);
        let all: Vec<String> = document.faults.iter().map(one).collect();
        let _ = write!(page, "<p>Shaded: {}.</p>", escape(&all.join("; ")));
    }
    page += "<table><tr><th>runs</th><th>seeds</th><th>goodput</th><th>worst tenant</th><th>p50 ms</th>\
             <th>p99 ms</th><th>p99.9 ms</th><th>attempts a job</th><th>probes a job</th><th>rules broken</th></tr>";
    for (index, lot) in document.lots.iter().enumerate() {
        let over = |figure: Figure| {
            let values: Vec<f64> =
                lot.runs.iter().map(|run| figure.of(&run.summary, run.rules_broken)).collect();
            Mean::of(&values)
        };
        let (r, g, b) = colour(index).to_backend_color().rgb;
        let _ = write!(
            page,
            "<tr><td><i style=\"background:rgb({r},{g},{b})\"></i>{}</td><td>{}</td><td>{:.3}</td><td>{:.3}</td>\
             <td>{:.0}</td><td>{:.0}</td><td>{:.0}</td><td>{:.2}</td><td>{:.2}</td><td>{}</td></tr>",
            escape(&lot.label),
            lot.runs.len(),
            over(Figure::Goodput),
            over(Figure::WorstTenant),
            over(Figure::P50Ms),
            over(Figure::P99Ms),
            over(Figure::P999Ms),
            over(Figure::AttemptsAJob),
            over(Figure::ProbesAJob),
            lot.runs.iter().map(|run| run.rules_broken).sum::<u64>(),
        );
    }
    page += "</table><p>Means over seeds with 95% confidence intervals (Student's t). Plots are means over seeds, by \
             the second in which a request was first asked.</p><div class=\"plots\">";
    type Of = fn(&crate::stats::Second) -> Option<f64>;
    let plots: [(&str, &str, Of); 6] = [
        ("Goodput", "in time / asked", |s| (s.asked > 0.0).then(|| s.good / s.asked)),
        ("Median latency", "ms", |s| (s.p50_ms > 0.0).then_some(s.p50_ms)),
        ("99th percentile of latency", "ms", |s| (s.p99_ms > 0.0).then_some(s.p99_ms)),
        ("Jobs in workers' queues", "jobs", |s| Some(s.queued)),
        ("Probes", "a second", |s| Some(s.probes)),
        ("Connections to workers", "open", |s| Some(s.connections)),
    ];
    for (caption, unit, of) in plots {
        let lines: Vec<Vec<(f64, f64)>> = document.lots.iter().map(|lot| by_second(lot, of)).collect();
        let plot = over_time(document, unit, &lines)?;
        let _ = write!(page, "<figure><figcaption>{caption}</figcaption>{plot}</figure>");
    }
    if !document.tenants.is_empty() {
        let plot = by_tenant(document)?;
        let _ = write!(page, "<figure><figcaption>Each tenant, within its share</figcaption>{plot}</figure>");
    }
    for Plot { caption, unit, lines } in &document.plots {
        let points: Vec<Vec<(f64, f64)>> = lines.iter().map(|(_, line)| line.clone()).collect();
        let plot = over_time(document, unit, &points)?;
        let _ = write!(page, "<figure><figcaption>{}</figcaption>{plot}", escape(caption));
        for (index, (label, _)) in lines.iter().enumerate() {
            let (r, g, b) = colour(index).to_backend_color().rgb;
            let _ = write!(page, "<i style=\"background:rgb({r},{g},{b})\"></i>{} ", escape(label));
        }
        page += "</figure>";
    }
    page += "</div>";
    let mut findings = Vec::new();
    for lot in &document.lots {
        for run in &lot.runs {
            findings.extend(run.findings.iter().map(|f| format!("{}, seed {}: {f}", lot.label, run.seed)));
        }
    }
    findings.truncate(20);
    if !findings.is_empty() {
        let _ = write!(page, "<h2>Rules broken</h2><pre>{}</pre>", escape(&findings.join("\n\n")));
    }
    Ok(page + "</html>\n")
}
