"""Stable part of an announcement and its digest."""

import xxhash

from chestnutvale.schema.membership_pb2 import Announcement


def copy_without_cache_events(announcement: Announcement) -> Announcement:
    """Copy an announcement without its cache events.

    Parameters
    ----------
    announcement : Announcement
        The announcement as received; it is not modified.

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
    """Return a digest of an announcement without what changes all the time.

    Parameters
    ----------
    announcement : Announcement
        The announcement; it is not modified.

    Returns
    -------
    int
        64-bit digest; equal if the announcements agree in all fields but the sequence,
        load, cache events and remaining cold time.
    """
    content = copy_without_cache_events(announcement)
    content.ClearField("sequence")
    content.ClearField("load")
    content.ClearField("cold_remaining_ms")
    return xxhash.xxh64_intdigest(content.SerializeToString(deterministic=True))
