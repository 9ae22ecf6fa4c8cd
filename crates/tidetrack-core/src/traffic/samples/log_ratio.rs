//! Estimates of shares and their log-likelihood ratios.

/// Estimates a share with one additional success and one additional failure, so that few responses
/// do not yield a share near 0.
pub fn estimated_share(counted: f32, total: f32) -> f32 {
    (counted + 1.0) / (total + 2.0)
}

/// Returns the log-likelihood ratio of a counted share against a baseline share, or 0 if the
/// counted share is not higher. The counts may be decayed and thus fractional.
pub fn log_likelihood_ratio(counted: f32, total: f32, baseline: f32) -> f32 {
    signed_log_likelihood_ratio(counted, total, baseline).max(0.0)
}

/// Returns the log-likelihood ratio of a counted share against a baseline share, negative if the
/// counted share is lower.
pub(super) fn signed_log_likelihood_ratio(counted: f32, total: f32, baseline: f32) -> f32 {
    let (share, baseline) = ((counted / total.max(1.0)).min(1.0), baseline.min(0.99));
    let divergence = |share: f32, baseline: f32| match share {
        0.0 => 0.0,
        share => share * (share / baseline).ln(),
    };
    let log_ratio = total * (divergence(share, baseline) + divergence(1.0 - share, 1.0 - baseline));
    if share < baseline {
        -log_ratio
    } else {
        log_ratio
    }
}
