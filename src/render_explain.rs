//! Renders the state and the steps of a request as text.

use crate::explain_report::ExplainReport;

/// Renders the state of a request and then its steps, one per line.
pub fn render_explain(report: &ExplainReport) -> String {
    let mut lines = vec![format!("request {}: {}", report.request, report.state)];
    lines.extend(report.steps.iter().map(|step| {
        let time = format!("+{} ms", step.time_ms);
        format!("{time:>12}  {}", step.sentence)
    }));
    lines.join("\n")
}
