//! Switches for the rules of key homes, so that tests can show what each rule prevents.

/// Which rules of key homes are in force; every rule is in force by default.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HomeRules {
    /// A newly started instance sends no confirmations for two windows.
    pub abstention: bool,
    /// A claim made on another list version is refused.
    pub equal_list: bool,
    /// A handover of keys by a home that stopped counts only if enough instances attest that they
    /// confirmed no later incarnation of it.
    pub attested: bool,
    /// A key minted further in the future than the clock margin is refused.
    pub future: bool,
    /// A majority of the published list has to confirm a home.
    pub majority: bool,
    /// A key minted before the home became eligible is not granted.
    pub minted_after: bool,
    /// A home that was handed keys grants none that an earlier incarnation of it may have granted.
    pub own_floor: bool,
    /// A gap between ticks longer than the window resets the eligibility.
    pub pause: bool,
    /// A newly started instance sends no confirmations before it has a recovery quorum.
    pub recovery: bool,
    /// Every earlier list version has to be retired.
    pub retirement: bool,
    /// Retirement counts only members that confirmed within the window.
    pub retirement_window: bool,
    /// A home hands keys over only once the list that it has left is retired.
    pub sealed: bool,
    /// A confirmation counts from the time at which its heartbeat was sent.
    pub send_time: bool,
    /// A home becomes eligible only after an unbroken window.
    pub unbroken_window: bool,
    /// A handover of keys counts only once all of its parts have arrived.
    pub whole: bool,
}

impl HomeRules {
    /// Every rule in force.
    pub const ALL: Self = Self {
        abstention: true,
        attested: true,
        equal_list: true,
        future: true,
        majority: true,
        minted_after: true,
        own_floor: true,
        pause: true,
        recovery: true,
        retirement: true,
        retirement_window: true,
        sealed: true,
        send_time: true,
        unbroken_window: true,
        whole: true,
    };
}

impl HomeRules {
    /// Returns every rule but the named one, or nothing if there is no such rule.
    pub fn without(name: &str) -> Option<Self> {
        let mut rules = Self::ALL;
        let rule = match name {
            "abstention" => &mut rules.abstention,
            "attested" => &mut rules.attested,
            "equal_list" => &mut rules.equal_list,
            "future" => &mut rules.future,
            "majority" => &mut rules.majority,
            "minted_after" => &mut rules.minted_after,
            "own_floor" => &mut rules.own_floor,
            "pause" => &mut rules.pause,
            "recovery" => &mut rules.recovery,
            "retirement" => &mut rules.retirement,
            "retirement_window" => &mut rules.retirement_window,
            "sealed" => &mut rules.sealed,
            "send_time" => &mut rules.send_time,
            "unbroken_window" => &mut rules.unbroken_window,
            "whole" => &mut rules.whole,
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
