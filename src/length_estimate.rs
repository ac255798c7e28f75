//! Estimates the length of answers from earlier ones, per customer of one service.
//!
//! Mean and mean deviation are smoothed after Jacobson, "Congestion avoidance and control", 1988.

use crate::name::Name;

/// Maximum number of customers for which an estimate is kept; the least recently used one is
/// evicted.
pub const CUSTOMER_LIMIT: usize = 256;
/// Length that is assumed for a customer without answers, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Fewest answers with which an estimate may be used to refuse a request.
const TRUSTED_ANSWERS: u32 = 8;
/// Deviations from the mean beyond which few answers are shorter.
const LOWER_DEVIATIONS: f64 = -2.0;
/// Deviations from the mean beyond which few answers are longer.
const UPPER_DEVIATIONS: f64 = 1.0;
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Estimates of the lengths of answers of one service.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimates {
    customers: Vec<CustomerLength>,
    uses: u64,
}

#[derive(Clone, Debug)]
struct CustomerLength {
    answers: u32,
    deviation_tokens: f64,
    last_use: u64,
    mean_tokens: f64,
    name: Name,
}

impl LengthEstimates {
    /// Records the length of one complete answer, in tokens.
    pub fn record(&mut self, customer: &Name, output_tokens: u32) {
        self.uses += 1;
        let measured_tokens = f64::from(output_tokens);
        match self.find(customer) {
            Ok(index) => self.customers[index].update(measured_tokens, self.uses),
            Err(_) => self.add(customer, measured_tokens),
        }
    }

    /// Returns a length that few answers exceed, in tokens.
    pub fn upper_tokens(&self, customer: &Name, max_output_tokens: u32) -> u32 {
        let estimate_tokens = match self.find(customer) {
            Ok(index) => self.customers[index].bound(UPPER_DEVIATIONS),
            Err(_) => DEFAULT_OUTPUT_TOKENS,
        };
        estimate_tokens.min(max_output_tokens)
    }

    /// Returns a length that few answers stay below, in tokens, or nothing before enough answers
    /// were recorded.
    pub fn lower_tokens(&self, customer: &Name, max_output_tokens: u32) -> Option<u32> {
        self.trusted_tokens(customer, max_output_tokens, LOWER_DEVIATIONS)
    }

    /// Returns a length that few answers exceed, in tokens, or nothing before enough answers were
    /// recorded.
    pub fn trusted_upper_tokens(&self, customer: &Name, max_output_tokens: u32) -> Option<u32> {
        self.trusted_tokens(customer, max_output_tokens, UPPER_DEVIATIONS)
    }

    fn trusted_tokens(
        &self,
        customer: &Name,
        max_output_tokens: u32,
        deviations: f64,
    ) -> Option<u32> {
        let index = self.find(customer).ok()?;
        let length = &self.customers[index];
        if length.answers < TRUSTED_ANSWERS {
            return None;
        }
        Some(length.bound(deviations).min(max_output_tokens))
    }

    /// Returns the number of customers with an estimate.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether no customer has an estimate.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    fn add(&mut self, customer: &Name, measured_tokens: f64) {
        if self.customers.len() >= CUSTOMER_LIMIT {
            self.evict_least_recent();
        }
        let length = CustomerLength {
            answers: 1,
            deviation_tokens: measured_tokens / 2.0,
            last_use: self.uses,
            mean_tokens: measured_tokens,
            name: customer.clone(),
        };
        let index = self.find(customer).unwrap_or_else(|index| index);
        self.customers.insert(index, length);
    }

    fn find(&self, customer: &Name) -> Result<usize, usize> {
        self.customers.binary_search_by(|length| length.name.cmp(customer))
    }

    fn evict_least_recent(&mut self) {
        let oldest = self.customers.iter().enumerate().min_by_key(|(_, length)| length.last_use);
        if let Some((index, _)) = oldest {
            self.customers.remove(index);
        }
    }
}

impl CustomerLength {
    fn bound(&self, deviations: f64) -> u32 {
        (self.mean_tokens + deviations * self.deviation_tokens).max(1.0) as u32
    }

    fn update(&mut self, measured_tokens: f64, uses: u64) {
        let error_tokens = measured_tokens - self.mean_tokens;
        self.mean_tokens += MEAN_WEIGHT * error_tokens;
        self.deviation_tokens += DEVIATION_WEIGHT * (error_tokens.abs() - self.deviation_tokens);
        self.answers = self.answers.saturating_add(1);
        self.last_use = uses;
    }
}
