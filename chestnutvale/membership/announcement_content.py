"""The part of an announcement that rarely changes, and its digest."""

import xxhash

from chestnutvale.schema.membership_pb2 import Announcement


def copy_without_cache_events(announcement: Announcement) -> Announcement:
    """Copy an announcement without its cache events.

    Parameters
    ----------
    announcement : Announcement
        The announcement as received.

    Returns
    -------
    Announcement
        A copy for the controls, which don't use cache events.
    """
    content = Announcement()
    content.CopyFrom(announcement)
    content.ClearField("cache_events")
    return content


def content_digest(announcement: Announcement) -> int:
    """Digest all of an announcement but sequence, load and cache events.

    Parameters
    ----------
    announcement : Announcement
        The announcement.

    Returns
    -------
    int
        The digest in 64 bits.
    """
    content = copy_without_cache_events(announcement)
    content.ClearField("sequence")
    content.ClearField("load")
    return xxhash.xxh64_intdigest(content.SerializeToString(deterministic=True))
