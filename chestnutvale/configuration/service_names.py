"""Names of services in a text, and what operators and hosts call them.

A service of the platform may serve several models. A text then contains one service for
each model, with the platform's service as its pool. Plain services and models share the
names of the text, so a name is made of its parts such that no two identities get one.
"""

from collections.abc import Mapping
from typing import Final, Self

import attrs

from chestnutvale.schema.configuration_pb2 import Service, Text

PART_SEPARATOR: Final = "/"
# Precedes what is added to a name, such as the host in the id of a plain group.
NAME_SUFFIX_SEPARATOR: Final = "@"
_ESCAPES: Final = str.maketrans(
    {"%": "%25", PART_SEPARATOR: "%2F", NAME_SUFFIX_SEPARATOR: "%40"}
)
_DOMAIN_SEPARATOR: Final = "."
_DOMAIN_ESCAPES: Final = str.maketrans({"%": "%25", _DOMAIN_SEPARATOR: "%2E"})


def make_domain_name(pool: str, domain: str) -> str:
    """Return the name of a fabric domain that only the hosts of one pool use.

    Parameters
    ----------
    pool : str
        The pool.
    domain : str
        What its hosts call the domain.

    Returns
    -------
    str
        A name that no other pair has.
    """
    return f"{pool.translate(_DOMAIN_ESCAPES)}{_DOMAIN_SEPARATOR}{domain}"


@attrs.frozen
class ServiceIdentity:
    """What a service of a text is, whatever its name there.

    Attributes
    ----------
    listed_name : str
        Name that routes and hosts use: that of the pool, or of the plain service.
    model : str or None
        Model of the pool; None for a service that is not part of a pool.
    """

    listed_name: str
    model: str | None = None

    @property
    def canonical_name(self) -> str:
        """Name that no other identity has, such as ``ledger-app`` or ``llm/big``."""
        parts = [self.listed_name]
        if self.model is not None:
            parts.append(self.model)
        return PART_SEPARATOR.join(part.translate(_ESCAPES) for part in parts)


def find_listed_name(name: str, service: Service) -> str:
    """Return the name under which routes and hosts refer to a service.

    Parameters
    ----------
    name : str
        Name of the service in the text.
    service : Service
        The service.

    Returns
    -------
    str
        Name of its pool, or its listed name if that differs from the name in the text.
    """
    return service.pool or service.listed_name or name


def find_identity(name: str, service: Service) -> ServiceIdentity:
    """Return the identity of a service; see `find_listed_name`."""
    model = service.model if service.pool else None
    return ServiceIdentity(find_listed_name(name, service), model)


@attrs.frozen
class ServiceNames:
    """Names of the services of one text, by identity.

    Built once for each text, of which there are some thousands a day, and read for each
    announcement of a host.
    """

    _names: Mapping[ServiceIdentity, str] = attrs.field(factory=dict)

    @classmethod
    def from_text(cls, text: Text) -> Self:
        """Build the index of a text.

        Parameters
        ----------
        text : Text
            The text.

        Returns
        -------
        ServiceNames
            The index.
        """
        return cls(
            {
                find_identity(name, service): name
                for name, service in text.services.items()
            }
        )

    def find(self, identity: ServiceIdentity) -> str:
        """Return the name of a service.

        Parameters
        ----------
        identity : ServiceIdentity
            The service; the text need not contain it.

        Returns
        -------
        str
            Its name in the text, or else the canonical one.
        """
        return self._names.get(identity, identity.canonical_name)


def keep_service_names(text: Text, in_force: Text) -> None:
    """Give the services of a text the names that they have in the text in force.

    Groups are stored under the names of their services, so a name must not change while
    its service exists, and no other service may get it in the next text. Texts of
    earlier builds contain names that are not canonical.

    Parameters
    ----------
    text : Text
        A text with canonical names; changed in place.
    in_force : Text
        The text that it replaces.
    """
    names_in_force = ServiceNames.from_text(in_force)
    renamed = {}
    for name, service in text.services.items():
        identity = find_identity(name, service)
        kept_name = names_in_force.find(identity)
        owner = in_force.services.get(kept_name)
        if owner is not None and find_identity(kept_name, owner) != identity:
            kept_name += f"{NAME_SUFFIX_SEPARATOR}{text.number}"
        if kept_name != name:
            renamed[name] = kept_name
    services = {name: Service() for name in renamed}
    for name, service in services.items():
        service.CopyFrom(text.services[name])
        del text.services[name]
    for name, service in services.items():
        new_name = renamed[name]
        if not service.pool:
            service.listed_name = find_listed_name(name, service)
        text.services[new_name].CopyFrom(service)
