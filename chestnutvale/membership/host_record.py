"""What a control knows of one host."""

import attrs

from chestnutvale.membership.boot_order import BootOrder
from chestnutvale.schema.membership_pb2 import Announcement, Load


@attrs.define
class HostRecord:
    """What a control knows of one host.

    Attributes
    ----------
    host_id : str
        Identity of the host.
    order : BootOrder
        Newest boot and sequence, and when it was heard.
    entry_id : str
        Entry that heard it last.
    announcement : Announcement or None
        Newest whole announcement; None before the first one.
    digest : int
        Digest of what the host announced last.
    is_content_current : bool
        Whether ``announcement`` is what the host announced last.
    load : Load or None
        Newest load; None before the first one.
    is_superseded : bool
        Whether a later life of another identity has its address.
    is_load_from_entries : bool
        Whether the load is what entries run there, as the host reports none.
    announces_to_control : bool
        Whether it announces itself to one control, and not to the entries.
    """

    host_id: str
    order: BootOrder
    entry_id: str
    announcement: Announcement | None = None
    digest: int = 0
    is_content_current: bool = False
    load: Load | None = None
    is_superseded: bool = False
    is_load_from_entries: bool = False
    announces_to_control: bool = False

    @property
    def boot_id(self) -> str:
        """Newest boot of the host."""
        return self.order.boot_id

    @property
    def heard_at_s(self) -> float:
        """Time at which the host was last heard, on the control's clock."""
        return self.order.heard_at_s
