//! Among whom the room is shared.

use crate::gateway::fleet::additions::ToldAsker;
use crate::gateway::fleet::message::PlaceAsk;
use crate::name::Name;

/// One of those among whom the room is shared.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Sharer {
    /// All requests without a customer together.
    #[default]
    Anonymous,
    /// A customer.
    Customer(Name),
    /// An instance whose build does not tell the customers of its requests.
    Instance(Name),
}

impl Sharer {
    /// Returns the sharer of a request of a customer, or of none.
    pub fn of(customer: Option<&Name>) -> Self {
        customer.map_or(Self::Anonymous, |customer| Self::Customer(customer.clone()))
    }

    /// Returns the sharer of another instance's request; `told` is what that instance adds.
    pub fn of_ask(holder: &Name, ask: &PlaceAsk, told: Option<&ToldAsker>) -> Self {
        match (told, &ask.usage) {
            (Some(told), _) => Self::of(told.customer.as_ref()),
            (None, Some(usage)) => Self::Customer(usage.customer.clone()),
            (None, None) => Self::Instance(holder.clone()),
        }
    }

    /// Returns a name for metrics and logs.
    pub fn label(&self) -> &str {
        match self {
            Self::Anonymous => "",
            Self::Customer(name) | Self::Instance(name) => name,
        }
    }
}
