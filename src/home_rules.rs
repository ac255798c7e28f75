//! Switches for the rules of key homes, so that tests can show what each rule prevents.

/// Which rules of key homes are in force; every rule is in force by default.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HomeRules {
    /// A newly started instance sends no confirmations for two windows.
    pub abstention: bool,
    /// A claim made on another list version is refused.
    pub equal_list: bool,
    /// A key minted further in the future than the clock margin is refused.
    pub future: bool,
    /// A majority of the published list has to confirm a home.
    pub majority: bool,
    /// A key minted before the home became eligible is not granted.
    pub minted_after: bool,
    /// A gap between ticks longer than the window resets the eligibility.
    pub pause: bool,
    /// A newly started instance sends no confirmations before it has a recovery quorum.
    pub recovery: bool,
    /// Every earlier list version has to be retired.
    pub retirement: bool,
    /// Retirement counts only members that confirmed within the window.
    pub retirement_window: bool,
    /// A confirmation counts from the time at which its heartbeat was sent.
    pub send_time: bool,
    /// A home becomes eligible only after an unbroken window.
    pub unbroken_window: bool,
}

impl HomeRules {
    /// Every rule in force.
    pub const ALL: Self = Self {
        abstention: true,
        equal_list: true,
        future: true,
        majority: true,
        minted_after: true,
        pause: true,
        recovery: true,
        retirement: true,
        retirement_window: true,
        send_time: true,
        unbroken_window: true,
    };
}

impl HomeRules {
    /// Returns every rule but the named one, or nothing if there is no such rule.
    pub fn without(name: &str) -> Option<Self> {
        let mut rules = Self::ALL;
        let rule = match name {
            "abstention" => &mut rules.abstention,
            "equal_list" => &mut rules.equal_list,
            "future" => &mut rules.future,
            "majority" => &mut rules.majority,
            "minted_after" => &mut rules.minted_after,
            "pause" => &mut rules.pause,
            "recovery" => &mut rules.recovery,
            "retirement" => &mut rules.retirement,
            "retirement_window" => &mut rules.retirement_window,
            "send_time" => &mut rules.send_time,
            "unbroken_window" => &mut rules.unbroken_window,
            _ => return None,
        };
        *rule = false;
        Some(rules)
    }
}

impl Default for HomeRules {
    fn default() -> Self {
        Self::ALL
    }
}
