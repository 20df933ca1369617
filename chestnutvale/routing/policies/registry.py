"""Makes the load-balancing policy that the settings of an entry name."""

from chestnutvale.routing.const import POLICY_EVEN_LOAD, POLICY_LEAST_LOADED
from chestnutvale.routing.policies.even_load import EvenLoadPolicy
from chestnutvale.routing.policies.least_loaded import LeastLoadedPolicy
from chestnutvale.routing.policies.policy import LoadBalancingPolicy


def make_policy(name: str) -> LoadBalancingPolicy:
    """Make a load-balancing policy.

    Parameters
    ----------
    name : str
        Name of the policy; empty selects the default.

    Returns
    -------
    LoadBalancingPolicy
        The policy.

    Raises
    ------
    KeyError
        If there is no policy of that name; the settings are checked before.
    """
    policies = {
        POLICY_LEAST_LOADED: LeastLoadedPolicy,
        POLICY_EVEN_LOAD: EvenLoadPolicy,
    }
    return policies[name or POLICY_LEAST_LOADED]()
